package kitemux.engine;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Admits each attempt before its first byte is written to a server. An attempt that waits at the gate is
 * known not to have run; its deadline is not extended by the wait.
 *
 * @param <Q> type of the protocol's requests
 */
public interface SendGate<Q> {
    /**
     * Decides whether an attempt may be sent.
     *
     * @param id the request's id in the engine
     * @param attempt number of the attempt within the request, from 0
     * @param endpoint supplies the server's address; empty if the server no longer has one
     * @param expiresAtUs when the attempt times out, in microseconds of the engine's clock
     * @param onDecision called once, on the event loop, from inside this call or later: with true to send the
     *     attempt, or with false if it cannot be sent in time; the request is then refused as safe to retry
     */
    void admit(
            long id,
            Q request,
            int attempt,
            String serverId,
            Supplier<String> endpoint,
            long expiresAtUs,
            Consumer<Boolean> onDecision);

    /** Returns the advised retry delay for a request that the gate rejected, in microseconds; 0 for no advice. */
    long retryAfterUs();

    /** Returns a gate that admits every attempt immediately. */
    static <Q> SendGate<Q> alwaysOpen() {
        return new SendGate<>() {
            @Override
            public void admit(
                    long id,
                    Q request,
                    int attempt,
                    String serverId,
                    Supplier<String> endpoint,
                    long expiresAtUs,
                    Consumer<Boolean> onDecision) {
                onDecision.accept(true);
            }

            @Override
            public long retryAfterUs() {
                return 0;
            }
        };
    }
}
