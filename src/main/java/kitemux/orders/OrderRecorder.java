package kitemux.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import kitemux.Balancer;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Settings;
import kitemux.engine.RequestInfo;
import kitemux.engine.Observer;
import kitemux.engine.SendGate;
import kitemux.engine.Clock;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.Accepted;

/**
 * Keeps the journal of what an engine does with requests of the classes that must never run twice, and of
 * others that it is told to keep: it hears of all, and holds each send back until the journal has it. On the
 * engine's loop.
 *
 * @param <Q> requests of the protocol
 */
public final class OrderRecorder<Q extends RequestInfo> implements Observer, SendGate<Q> {
    /**
     * Bytes of bodies that wait for the writer to digest them, but for one that waits alone. A request may be
     * over long before a disk that is late has its entry, and its body would fill the memory meanwhile. Harm:
     * beyond it the loop stands still for a digest, some 2 ms for each MiB.
     */
    static final long MAX_PENDING_BODY_BYTES = 8 << 20;

    private final Settings settings;
    private final Clock time;
    private final JournalWriter orders;
    private final OrderSettings how;
    private final Map<Long, Long> numbers = new HashMap<>();
    /** Also changed by the writer. */
    private final AtomicLong waiting = new AtomicLong();

    private long next;

    /**
     * A keeper that has heard of nothing.
     *
     * @param next the number for the first request that is taken
     * @param how which classes are kept, and how long a send waits for its record
     */
    OrderRecorder(Settings settings, Clock time, JournalWriter orders, long next, OrderSettings how) {
        this.settings = settings;
        this.time = time;
        this.orders = orders;
        this.next = next;
        this.how = how;
    }

    private boolean isKept(int classIndex) {
        RequestClass of = settings.classes.get(classIndex);
        return of.retrySafety() == RetrySafety.UNSAFE || how.classes().contains(of.name());
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        if (!isKept(request.classIndex())) {
            return;
        }
        long number = next++;
        numbers.put(id, number);
        long now = time.nowUs();
        RequestClass of = settings.classes.get(request.classIndex());
        String tenant = request.tenant() < 0
                ? ""
                : settings.tenants.get(request.tenant()).name();
        String key = request.key() == null ? "" : request.key();
        String idempotencyKey = request.idempotencyKey() == null ? "" : request.idempotencyKey();
        String txn = request.txn();
        List<byte[]> body = request.body();
        int length = body.stream().mapToInt(part -> part.length).sum();
        long before = waiting.get();
        if (before > 0 && before + length > MAX_PENDING_BODY_BYTES) {
            Digest digest = Digest.of(body);
            orders.append(() -> new Accepted(number, now, txn, of.name(), tenant, key, idempotencyKey, length, digest));
            return;
        }
        // The digest is the writer's work: of a long body it would hold the loop up.
        waiting.addAndGet(length);
        LateDigest digest = new LateDigest(body, () -> waiting.addAndGet(-length));
        if (!orders.append(
                () -> new Accepted(number, now, txn, of.name(), tenant, key, idempotencyKey, length, digest.get()))) {
            waiting.addAndGet(-length);
        }
    }

    /** Made when it is first asked for, by the writer alone, which asks again where a write has failed. */
    private static final class LateDigest {
        private final Runnable whenMade;
        private List<byte[]> body;
        private Digest digest;

        LateDigest(List<byte[]> body, Runnable whenMade) {
            this.body = body;
            this.whenMade = whenMade;
        }

        Digest get() {
            if (digest == null) {
                digest = Digest.of(body);
                body = null;
                whenMade.run();
            }
            return digest;
        }
    }

    /** Bytes of bodies that wait for the writer. */
    long pendingBodyBytes() {
        return waiting.get();
    }

    @Override
    public void admit(
            long id,
            Q request,
            int attempt,
            String serverId,
            Supplier<String> endpoint,
            long untilUs,
            Consumer<Boolean> then) {
        Long number = numbers.get(id);
        if (number == null) {
            then.accept(true);
            return;
        }
        Intent intent = new Intent(number, time.nowUs(), attempt, serverId, endpoint.get(), untilUs);
        boolean[] told = {false};
        Clock.Timer patience = time.schedule(how.commitTimeoutMs() * 1_000, () -> {
            if (!told[0]) {
                told[0] = true;
                orders.countTimedOut();
                then.accept(false);
            }
        });
        orders.commit(() -> intent, durable -> {
            if (!told[0]) {
                told[0] = true;
                patience.cancel();
                then.accept(durable);
            }
        });
    }

    @Override
    public long retryAfterUs() {
        return Math.min(JournalWriter.RETRY_INTERVAL_MS * 1_000, settings.maxRetryAfterUs);
    }

    @Override
    public void onAttemptEnded(long id, int attempt, Balancer.Result result) {
        Long number = numbers.get(id);
        if (number != null) {
            long now = time.nowUs();
            orders.append(() -> new Ended(number, now, attempt, Entry.Result.valueOf(result.name()), !result.neverRan));
        }
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        Long number = numbers.get(id);
        if (number != null) {
            long now = time.nowUs();
            orders.append(() -> new Answered(number, now, Entry.Answer.valueOf(answer.name())));
        }
    }

    @Override
    public void onRequestReleased(long id) {
        numbers.remove(id);
    }
}
