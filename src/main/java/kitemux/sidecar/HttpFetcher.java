package kitemux.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;

/** HTTP client for server lists and health checks, with limits on the response time and the body's length. */
final class HttpFetcher {
    /** Maximum length of a body; no server list is this long. */
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .build();

    /**
     * Fetches the response body. The future fails if the complete response does not arrive within the timeout, if its
     * status is not 200 or if the body is longer than {@link #MAX_BODY_BYTES}.
     */
    CompletableFuture<byte[]> get(URI uri, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(timeoutMs))
                .build();
        CompletableFuture<HttpResponse<byte[]>> response =
                client.sendAsync(request, responseInfo -> new BoundedBodySubscriber(responseInfo.statusCode()));
        // The request's own timeout ends with the response headers and does not cover the body.
        return withTimeout(response, timeoutMs).thenApply(HttpResponse::body);
    }

    /** Tells whether the server answers with a status from 200 to 299 within the timeout. The future never fails. */
    CompletableFuture<Boolean> isHealthy(URI uri, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(timeoutMs))
                .build();
        return withTimeout(client.sendAsync(request, HttpResponse.BodyHandlers.discarding()), timeoutMs)
                .handle((response, failure) -> failure == null && response.statusCode() / 100 == 2);
    }

    /** Bounds a call in time and cancels it on failure. */
    private static <T> CompletableFuture<T> withTimeout(CompletableFuture<T> call, long timeoutMs) {
        CompletableFuture<T> bounded = call.copy().orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
        bounded.whenComplete((response, failure) -> {
            if (failure != null) {
                call.cancel(true);
            }
        });
        return bounded;
    }

    /** Collects a body and aborts if the status is not 200 or the body is longer than {@link #MAX_BODY_BYTES}. */
    private static final class BoundedBodySubscriber implements HttpResponse.BodySubscriber<byte[]> {
        private final int status;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private final CompletableFuture<byte[]> body = new CompletableFuture<>();
        private Flow.Subscription upstream;

        BoundedBodySubscriber(int status) {
            this.status = status;
        }

        @Override
        public CompletionStage<byte[]> getBody() {
            return body;
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            upstream = subscription;
            if (status != 200) {
                abort("status " + status);
            } else {
                upstream.request(1);
            }
        }

        private void abort(String reason) {
            upstream.cancel();
            body.completeExceptionally(new IOException(reason));
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            for (ByteBuffer buffer : buffers) {
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                received.writeBytes(bytes);
            }
            if (received.size() > MAX_BODY_BYTES) {
                abort("more than " + MAX_BODY_BYTES + " bytes");
            } else {
                upstream.request(1);
            }
        }

        @Override
        public void onError(Throwable failure) {
            body.completeExceptionally(failure);
        }

        @Override
        public void onComplete() {
            body.complete(received.toByteArray());
        }
    }
}
