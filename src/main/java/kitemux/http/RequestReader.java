package kitemux.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;

/** Decodes clients' requests from HTTP and rejects those that violate the protocol. */
public final class RequestReader {
    private static final String API_PREFIX = "/api/";
    /** Estimated network delay from the client, which is deducted from the remaining time that it states. */
    private static final long NETWORK_DELAY_US = 1_000;
    /**
     * Retry-After for clients that were rejected for lack of descriptors: most of the requests that hold
     * connections now are answered within this time.
     */
    private static final long NO_ROOM_RETRY_AFTER_US = 500_000;

    /** Maximum remaining time that a client may state: one hour. */
    private static final double MAX_REMAINING_US = 3.6e9;
    /** Maximum length of a number, so that parsing it stays cheap. */
    private static final int MAX_NUMBER_LENGTH_CHARS = 20;

    private final Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    /** Creates a reader for the classes and tenants of these settings. */
    public RequestReader(Settings settings) {
        this.settings = settings;
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
    }

    /** Returns the path of a URI, without its query. */
    static String path(String uri) {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }

    /** Returns whether requests to this path are forwarded to servers. */
    static boolean isRequestPath(String path) {
        return path.startsWith(API_PREFIX) || path.equals("/api");
    }

    /**
     * Returns the error status of a request whose head alone shows that it cannot be read, or null if the head
     * is acceptable.
     */
    static HttpResponseStatus headError(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean hasLength = head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty()
                && (hasLength || codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked"))) {
            // Another parser might find a different end of the body, and a smuggled request in what follows.
            return HttpResponseStatus.BAD_REQUEST;
        }
        long bodyBytes = HttpUtil.getContentLength(head, 0L);
        if (!hasLength && codings.isEmpty() && bodyBytes > 0) {
            // The decoder assumes a body that the message does not declare, as drafts of WebSocket had it, and takes
            // what follows the request for it.
            return HttpResponseStatus.BAD_REQUEST;
        }
        return bodyBytes > Limits.MAX_REQUEST_BODY_BYTES ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : null;
    }

    /**
     * Returns the Retry-After for a client that was rejected for lack of descriptors, in microseconds; 0 for
     * none.
     */
    long retryAfterUs() {
        return Math.min(NO_ROOM_RETRY_AFTER_US, settings.maxRetryAfterUs);
    }

    /**
     * Decodes a request whose last byte arrived at most {@code maxAgeUs} microseconds ago. The full age is
     * deducted from the client's remaining time, since a response must not come later than that. The target
     * latency is only a preference, so half the age is used for it.
     *
     * @throws BadRequestException if the request violates the protocol
     */
    ClientRequest read(HttpRequest message, List<byte[]> body, RequestReservation reservation, long maxAgeUs)
            throws BadRequestException {
        String txn = requiredHeader(message, "X-Txn");
        Integer classIndex = classes.get(requiredHeader(message, "X-Lane"));
        if (classIndex == null) {
            throw new BadRequestException("X-Lane names no class");
        }
        String idempotencyKey = optionalHeader(message, "Idempotency-Key");
        RetrySafety retrySafety = settings.classes.get(classIndex).retrySafety();
        // A class has one retry policy. With the method of another policy the effect of a request could occur
        // twice.
        if (!message.method().equals(retrySafety == RetrySafety.SAFE ? HttpMethod.GET : HttpMethod.POST)) {
            throw new BadRequestException("the class does not go with the method");
        }
        // A body of GET has no meaning, and servers that ignore its length would take it for the next request.
        if (retrySafety == RetrySafety.SAFE && body.stream().anyMatch(part -> part.length > 0)) {
            throw new BadRequestException("a request with the method GET must not have a body");
        }
        if (retrySafety == RetrySafety.KEYED == (idempotencyKey == null)) {
            throw new BadRequestException("Idempotency-Key does not go with the class");
        }
        String tenant = optionalHeader(message, "X-Org");
        String path = path(message.uri());
        String key = path.substring(path.lastIndexOf('/') + 1);
        return new ClientRequest(
                message.method(),
                message.uri(),
                txn,
                idempotencyKey,
                body,
                classIndex,
                tenant == null ? -1 : tenants.getOrDefault(tenant, -1),
                Math.max(0, parseRemainingUs(requiredHeader(message, "X-Remaining")) - maxAgeUs),
                parseWorkUs(optionalHeader(message, "X-Estimate")),
                "1".equals(optionalHeader(message, "X-Resent")),
                key.isEmpty() ? null : key,
                maxAgeUs / 2,
                settings.classes.get(classIndex).stream(),
                reservation);
    }

    private static String requiredHeader(HttpRequest message, String name) throws BadRequestException {
        String value = optionalHeader(message, name);
        if (value == null || value.isEmpty()) {
            throw new BadRequestException(name + " is missing");
        }
        return value;
    }

    private static String optionalHeader(HttpRequest message, String name) throws BadRequestException {
        List<String> values = message.headers().getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is given twice");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /**
     * Parses the value of X-Remaining, a number with a unit, and returns the client's remaining time in
     * microseconds.
     *
     * @throws BadRequestException if the value is malformed or out of range
     */
    public static long parseRemainingUs(String text) throws BadRequestException {
        double unit = text.endsWith("m") ? 1_000 : text.endsWith("u") ? 1 : 0;
        double us = unit * parseNumber(text.substring(0, text.length() - 1), "X-Remaining");
        if (unit == 0 || us > MAX_REMAINING_US) {
            throw new BadRequestException("X-Remaining cannot be read");
        }
        return Math.max(0, (long) us - NETWORK_DELAY_US);
    }

    private static long parseWorkUs(String text) throws BadRequestException {
        return text == null ? 0 : (long) parseNumber(text, "X-Estimate");
    }

    private static boolean isDecimal(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '.' && (c < '0' || c > '9')) {
                return false;
            }
        }
        return true;
    }

    private static double parseNumber(String text, String name) throws BadRequestException {
        // Accepts less than Double.parseDouble, which also accepts 1f, 0x1p3, NaN and surrounding blanks.
        if (text.length() <= MAX_NUMBER_LENGTH_CHARS && isDecimal(text)) {
            try {
                return Double.parseDouble(text);
            } catch (NumberFormatException e) {
                // Reported below.
            }
        }
        throw new BadRequestException(name + " cannot be read");
    }
}
