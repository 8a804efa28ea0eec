package kitemux.engine;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Stands before each attempt: what must be so before the first byte of it is written to a server. While it
 * waits the attempt is known not to have run, and its time runs.
 *
 * @param <Q> requests of the protocol
 */
public interface SendGate<Q> {
    /**
     * Asks whether an attempt may be sent.
     *
     * @param id the request's number with the engine
     * @param attempt its number among the request's, from 0
     * @param endpoint tells the address of the server; empty if it has none any more
     * @param untilUs when it is given up, in microseconds of the engine's clock
     * @param then to be told once, on the loop, from inside this call or later: true to send it; false if it
     *     cannot be sent in time, which turns the request away as harmless to try again
     */
    void admit(
            long id,
            Q request,
            int attempt,
            String serverId,
            Supplier<String> endpoint,
            long untilUs,
            Consumer<Boolean> then);

    /** When to come back for a client that was turned away, in microseconds; 0 for none. */
    long retryAfterUs();

    /** One that is always open. */
    static <Q> SendGate<Q> alwaysOpen() {
        return new SendGate<>() {
            @Override
            public void admit(
                    long id,
                    Q request,
                    int attempt,
                    String serverId,
                    Supplier<String> endpoint,
                    long untilUs,
                    Consumer<Boolean> then) {
                then.accept(true);
            }

            @Override
            public long retryAfterUs() {
                return 0;
            }
        };
    }
}
