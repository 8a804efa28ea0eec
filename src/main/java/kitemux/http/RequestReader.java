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

/** Reads a client's request by the protocol; what does not keep to it is turned down here. */
public final class RequestReader {
    private static final String PREFIX = "/api/";
    /** The way from the client, by which its time is shorter than it says. */
    private static final long WAY_US = 1_000;
    /** In which requests that hold connections now are mostly answered. */
    private static final long CROWDED_US = 500_000;

    private static final double MOST_LEFT_US = 3.6e9;
    /** Of a number, so that none costs more to read than it is worth. */
    private static final int MOST_DIGITS = 20;

    private final Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    /** Reads by the classes and tenants of these settings. */
    public RequestReader(Settings settings) {
        this.settings = settings;
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
    }

    static String path(String uri) {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }

    static boolean isRequestPath(String path) {
        return path.startsWith(PREFIX) || path.equals("/api");
    }

    /** The status owed to a request whose head alone tells that it cannot be read, or null. */
    static HttpResponseStatus errorOf(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean hasLength = head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty()
                && (hasLength || codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked"))) {
            // Another reader might find another end of it, and in the rest another request.
            return HttpResponseStatus.BAD_REQUEST;
        }
        return HttpUtil.getContentLength(head, 0L) > Limits.MAX_REQUEST_BODY_BYTES
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : null;
    }

    /** When to come back for a client that was turned away for want of descriptors, in microseconds; 0
     * for none. */
    long retryAfterUs() {
        return Math.min(CROWDED_US, settings.maxRetryAfterUs);
    }

    /**
     * Reads a request whose last byte came so many microseconds ago at most. Its time is over by the most of
     * them: an answer must not come after it. Its aim is only a wish, and takes the middle.
     */
    ClientRequest read(HttpRequest message, List<byte[]> body, long agoUs) throws BadRequestException {
        String txn = need(message, "X-Txn");
        Integer classIndex = classes.get(need(message, "X-Lane"));
        if (classIndex == null) {
            throw new BadRequestException("X-Lane names no class");
        }
        String idempotencyKey = one(message, "Idempotency-Key");
        RetrySafety repeat = settings.classes.get(classIndex).retrySafety();
        // A class stands for one way to repeat: were another asked for, an effect could happen twice.
        if (!message.method().equals(repeat == RetrySafety.SAFE ? HttpMethod.GET : HttpMethod.POST)) {
            throw new BadRequestException("the class does not go with the method");
        }
        if (repeat == RetrySafety.KEYED == (idempotencyKey == null)) {
            throw new BadRequestException("Idempotency-Key does not go with the class");
        }
        String tenant = one(message, "X-Org");
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
                Math.max(0, parseRemainingUs(need(message, "X-Remaining")) - agoUs),
                work(one(message, "X-Estimate")),
                "1".equals(one(message, "X-Resent")),
                key.isEmpty() ? null : key,
                agoUs / 2,
                settings.classes.get(classIndex).stream());
    }

    private static String need(HttpRequest message, String name) throws BadRequestException {
        String value = one(message, name);
        if (value == null || value.isEmpty()) {
            throw new BadRequestException(name + " is missing");
        }
        return value;
    }

    private static String one(HttpRequest message, String name) throws BadRequestException {
        List<String> values = message.headers().getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is given twice");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /**
     * Time left in microseconds by X-Remaining, a number and a unit.
     *
     * @throws BadRequestException if it is anything else
     */
    public static long parseRemainingUs(String text) throws BadRequestException {
        double unit = text.endsWith("m") ? 1_000 : text.endsWith("u") ? 1 : 0;
        double us = unit * number(text.substring(0, text.length() - 1), "X-Remaining");
        if (unit == 0 || us > MOST_LEFT_US) {
            throw new BadRequestException("X-Remaining cannot be read");
        }
        return Math.max(0, (long) us - WAY_US);
    }

    private static long work(String text) throws BadRequestException {
        return text == null ? 0 : (long) number(text, "X-Estimate");
    }

    private static boolean isPlain(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '.' && (c < '0' || c > '9')) {
                return false;
            }
        }
        return true;
    }

    private static double number(String text, String name) throws BadRequestException {
        // Not all that Double.parseDouble takes: it reads 1f, 0x1p3, NaN and blanks too.
        if (text.length() <= MOST_DIGITS && isPlain(text)) {
            try {
                return Double.parseDouble(text);
            } catch (NumberFormatException e) {
                // Named below.
            }
        }
        throw new BadRequestException(name + " cannot be read");
    }
}
