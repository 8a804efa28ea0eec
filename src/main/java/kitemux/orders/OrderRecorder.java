package kitemux.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import kitemux.Balancer;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.engine.SendGate;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;

/**
 * Records in the journal what an engine does with requests of the classes that must never run twice, and of
 * the further classes that the settings name. As the engine's send gate it delays each attempt until the
 * journal has its intent. It runs on the engine's event loop.
 *
 * @param <Q> the protocol's request type
 */
public final class OrderRecorder<Q extends RequestInfo> implements Observer, SendGate<Q> {
    /**
     * Bodies that wait for the writer to compute their digests; a single body may be larger. On a slow disk a
     * request may finish long before its entry is written, and its body would stay in memory until then. Beyond
     * this limit the event loop computes the digest itself, which blocks it for some 2 ms per MiB.
     */
    static final long MAX_PENDING_BODY_BYTES = 8 << 20;

    private final Settings settings;
    private final Clock time;
    private final JournalWriter journal;
    private final OrderSettings orderSettings;
    private final Map<Long, Long> journalNumbers = new HashMap<>();
    /** Bytes of bodies that wait for their digest; the writer's thread changes it as well. */
    private final AtomicLong pendingBytes = new AtomicLong();

    private long nextNumber;

    /**
     * Creates a recorder.
     *
     * @param nextNumber the number for the first request that is accepted
     * @param orderSettings the classes that are recorded, and how long a send waits for its entry
     */
    OrderRecorder(Settings settings, Clock time, JournalWriter journal, long nextNumber, OrderSettings orderSettings) {
        this.settings = settings;
        this.time = time;
        this.journal = journal;
        this.nextNumber = nextNumber;
        this.orderSettings = orderSettings;
    }

    private boolean isRecorded(int classIndex) {
        RequestClass requestClass = settings.classes.get(classIndex);
        return requestClass.retrySafety() == RetrySafety.UNSAFE
                || orderSettings.classes().contains(requestClass.name());
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        if (!isRecorded(request.classIndex())) {
            return;
        }
        long number = nextNumber++;
        journalNumbers.put(id, number);
        long now = time.nowUs();
        RequestClass requestClass = settings.classes.get(request.classIndex());
        String tenant = request.tenant() < 0
                ? ""
                : settings.tenants.get(request.tenant()).name();
        String key = request.key() == null ? "" : request.key();
        String idempotencyKey = request.idempotencyKey() == null ? "" : request.idempotencyKey();
        String txn = request.txn();
        List<byte[]> body = request.body();
        int length = body.stream().mapToInt(part -> part.length).sum();
        long pendingBefore = pendingBytes.get();
        if (pendingBefore > 0 && pendingBefore + length > MAX_PENDING_BODY_BYTES) {
            Digest digest = Digest.of(body);
            journal.append(() ->
                    new Accepted(number, now, txn, requestClass.name(), tenant, key, idempotencyKey, length, digest));
            return;
        }
        // The writer's thread computes the digest, since that of a long body would block the event loop.
        pendingBytes.addAndGet(length);
        LazyDigest digest = new LazyDigest(body, () -> pendingBytes.addAndGet(-length));
        if (!journal.append(() -> new Accepted(
                number, now, txn, requestClass.name(), tenant, key, idempotencyKey, length, digest.get()))) {
            pendingBytes.addAndGet(-length);
        }
    }

    /**
     * A digest that is computed on first use. Only the writer's thread uses it; it does so again after a failed
     * write.
     */
    private static final class LazyDigest {
        private final Runnable onComputed;
        private List<byte[]> body;
        private Digest digest;

        LazyDigest(List<byte[]> body, Runnable onComputed) {
            this.body = body;
            this.onComputed = onComputed;
        }

        Digest get() {
            if (digest == null) {
                digest = Digest.of(body);
                body = null;
                onComputed.run();
            }
            return digest;
        }
    }

    /** Returns the number of bytes of the bodies that wait for the writer. */
    long pendingBodyBytes() {
        return pendingBytes.get();
    }

    @Override
    public void admit(
            long id,
            Q request,
            int attempt,
            String serverId,
            Supplier<String> endpoint,
            long deadlineUs,
            Consumer<Boolean> callback) {
        Long number = journalNumbers.get(id);
        if (number == null) {
            callback.accept(true);
            return;
        }
        Intent intent = new Intent(number, time.nowUs(), attempt, serverId, endpoint.get(), deadlineUs);
        boolean[] decided = {false};
        Clock.Timer timeout = time.schedule(orderSettings.commitTimeoutMs() * 1_000, () -> {
            if (!decided[0]) {
                decided[0] = true;
                journal.countTimedOut();
                callback.accept(false);
            }
        });
        journal.commit(() -> intent, durable -> {
            if (!decided[0]) {
                decided[0] = true;
                timeout.cancel();
                callback.accept(durable);
            }
        });
    }

    @Override
    public long retryAfterUs() {
        return Math.min(JournalWriter.RETRY_INTERVAL_MS * 1_000, settings.maxRetryAfterUs);
    }

    @Override
    public void onAttemptEnded(long id, int attempt, Balancer.Result result) {
        Long number = journalNumbers.get(id);
        if (number != null) {
            long now = time.nowUs();
            journal.append(
                    () -> new Ended(number, now, attempt, Entry.Result.valueOf(result.name()), !result.neverRan));
        }
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        Long number = journalNumbers.get(id);
        if (number != null) {
            long now = time.nowUs();
            journal.append(() -> new Answered(number, now, Entry.Answer.valueOf(answer.name())));
        }
    }

    @Override
    public void onRequestReleased(long id) {
        journalNumbers.remove(id);
    }
}
