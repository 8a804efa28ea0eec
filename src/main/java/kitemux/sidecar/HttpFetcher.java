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

/** Asks by HTTP for lists and for servers' health, bounded in time and in length. */
final class HttpFetcher {
    private static final int MOST_BYTES = 8 << 20;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .build();

    /**
     * The answer's body. Fails with the reason where there is none within the time, where it is no 200, or
     * where it is
     * longer than any list.
     */
    CompletableFuture<byte[]> get(URI uri, long withinMs) {
        HttpRequest ask =
                HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(withinMs)).build();
        CompletableFuture<HttpResponse<byte[]>> answer = client.sendAsync(ask, head -> new Bounded(head.statusCode()));
        // A request's own time covers the way to the answer's head alone.
        return within(answer, withinMs).thenApply(HttpResponse::body);
    }

    /** Whether it answers 200 to 299 within the time; never fails. */
    CompletableFuture<Boolean> isHealthy(URI uri, long withinMs) {
        HttpRequest ask =
                HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(withinMs)).build();
        return within(client.sendAsync(ask, HttpResponse.BodyHandlers.discarding()), withinMs)
                .handle((answer, failed) -> failed == null && answer.statusCode() / 100 == 2);
    }

    private static <T> CompletableFuture<T> within(CompletableFuture<T> asked, long withinMs) {
        CompletableFuture<T> bounded = asked.copy().orTimeout(withinMs, TimeUnit.MILLISECONDS);
        bounded.whenComplete((answer, failed) -> {
            if (failed != null) {
                asked.cancel(true);
            }
        });
        return bounded;
    }

    /** A body that is given up once it is longer than any list. */
    private static final class Bounded implements HttpResponse.BodySubscriber<byte[]> {
        private final int status;
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();
        private final CompletableFuture<byte[]> body = new CompletableFuture<>();
        private Flow.Subscription from;

        Bounded(int status) {
            this.status = status;
        }

        @Override
        public CompletionStage<byte[]> getBody() {
            return body;
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            from = subscription;
            if (status != 200) {
                giveUp("status " + status);
            } else {
                from.request(1);
            }
        }

        private void giveUp(String why) {
            from.cancel();
            body.completeExceptionally(new IOException(why));
        }

        @Override
        public void onNext(List<ByteBuffer> parts) {
            for (ByteBuffer part : parts) {
                byte[] bytes = new byte[part.remaining()];
                part.get(bytes);
                read.writeBytes(bytes);
            }
            if (read.size() > MOST_BYTES) {
                giveUp("more than " + MOST_BYTES + " bytes");
            } else {
                from.request(1);
            }
        }

        @Override
        public void onError(Throwable failed) {
            body.completeExceptionally(failed);
        }

        @Override
        public void onComplete() {
            body.complete(read.toByteArray());
        }
    }
}
