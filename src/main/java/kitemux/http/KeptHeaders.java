package kitemux.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Locale;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * The fields of a message that the node reads, so that a head takes little memory however many fields it has. A field
 * costs many times its bytes on the heap. All others are validated and dropped; none is passed on anyway.
 */
final class KeptHeaders extends DefaultHttpHeaders {
    /** Maximum number of kept fields: a message has each of them once, and a second one shows that it is ambiguous. */
    private static final int MAX_KEPT_COUNT = 32;
    /** Memory that a field takes besides its value, in bytes. */
    private static final int FIELD_BYTES = 128;

    /** Names of the fields that the node reads in requests, in lower case. */
    private static final Set<String> REQUEST_NAMES = Set.of(
            "x-txn",
            "x-lane",
            "x-org",
            "x-remaining",
            "x-resent",
            "x-estimate",
            "idempotency-key",
            "host",
            "content-length",
            "transfer-encoding",
            "connection",
            "expect",
            "upgrade",
            "sec-websocket-key1",
            "sec-websocket-key2");
    /** Names of the fields that the node reads in responses, in lower case. */
    private static final Set<String> RESPONSE_NAMES = Set.of(
            "x-turned-away",
            "content-length",
            "transfer-encoding",
            "connection",
            "upgrade",
            "sec-websocket-accept",
            "sec-websocket-origin",
            "sec-websocket-location");

    private final Set<String> keptNames;
    private final IntPredicate reserve;
    private int keptCount;

    private KeptHeaders(Set<String> keptNames, IntPredicate reserve) {
        this.keptNames = keptNames;
        this.reserve = reserve;
    }

    /** There is no room for another field of any message. */
    static final class NoRoomException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        NoRoomException() {
            super("no room for the fields of a head");
        }
    }

    /**
     * Returns a factory for the heads of a client's requests.
     *
     * @param reserve reserves this many bytes for a field, or returns false if there is no room
     */
    static HttpHeadersFactory forRequests(IntPredicate reserve) {
        return factory(REQUEST_NAMES, reserve);
    }

    /** Returns a factory for the heads of a server's responses. */
    static HttpHeadersFactory forResponses() {
        return factory(RESPONSE_NAMES, bytes -> true);
    }

    /** Returns a factory for the trailers of messages, of which the node reads none. */
    static HttpHeadersFactory forTrailers() {
        return factory(Set.of(), bytes -> true);
    }

    private static HttpHeadersFactory factory(Set<String> keptNames, IntPredicate reserve) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new KeptHeaders(keptNames, reserve);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalArgumentException if the field is malformed, or the message has too many fields of these names
     * @throws NoRoomException if there is no room for the field
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        String text = value.toString();
        if (!keptNames.contains(name.toString().toLowerCase(Locale.ROOT))) {
            validate(name, text);
            return this;
        }
        if (++keptCount > MAX_KEPT_COUNT) {
            throw new IllegalArgumentException("more than " + MAX_KEPT_COUNT + " fields that have to be unique");
        }
        if (!reserve.test(FIELD_BYTES + text.length())) {
            throw new NoRoomException();
        }
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    private static void validate(CharSequence name, CharSequence value) {
        if (name.isEmpty() || HttpHeaderValidationUtil.validateToken(name) >= 0) {
            throw new IllegalArgumentException("malformed field name");
        }
        if (HttpHeaderValidationUtil.validateValidHeaderValue(value) >= 0) {
            throw new IllegalArgumentException("malformed field value");
        }
    }
}
