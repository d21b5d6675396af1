package org.rattanplank.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.CrashQuarantine;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.QuarantineListener;
import org.rattanplank.gateway.pass.RequestQuarantine;
import org.rattanplank.gateway.store.ClusterStore;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreFormat;
import org.rattanplank.gateway.store.StoreItem;

/**
 * Records in the store the evidence against quarantined requests, so that it outlives a restart of all hosts.
 *
 * <p>The host that decides on a quarantine records it at once. Two hosts may each notice a part of the crashes at the
 * same time, so that neither decides on its own: any host that learns of a quarantine records it later unless it has
 * seen it in the store by then.
 *
 * <p>Invariants: nothing is written unless a quarantine begins or ends; a write that failed is repeated while there is
 * evidence; a record lapses with its lease. Confined to the event loop.
 */
final class QuarantineRecorder implements QuarantineListener {
    private static final long RETRY_DELAY_MILLIS = 2_000;
    private static final long MIN_LEARNED_DELAY_MILLIS = 2_000;
    private static final long MAX_LEARNED_DELAY_MILLIS = 6_000;

    private final RequestQuarantine quarantine;
    private final ClusterStore store;
    private final StoreFormat format;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final EventLog log;
    private final Map<Fingerprint, Pending> pending = new HashMap<>();
    private boolean writing;

    QuarantineRecorder(
            RequestQuarantine quarantine,
            ClusterStore store,
            StoreFormat format,
            LongSupplier clock,
            RandomGenerator random,
            EventLog log) {
        this.quarantine = quarantine;
        this.store = store;
        this.format = format;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    @Override
    public void decided(Fingerprint fingerprint) {
        pending.put(fingerprint, new Pending(clock.getAsLong(), false));
    }

    @Override
    public void learned(Fingerprint fingerprint) {
        long delayMillis = random.nextLong(MIN_LEARNED_DELAY_MILLIS, MAX_LEARNED_DELAY_MILLIS);
        pending.putIfAbsent(fingerprint, new Pending(clock.getAsLong() + delayMillis, true));
    }

    /** Merges evidence that was read from the store. */
    void mergeStored(Fingerprint fingerprint, List<CrashEvidence> evidence) {
        quarantine.merge("store", evidence);
        pending.computeIfPresent(fingerprint, (key, each) -> each.learned() ? null : each);
    }

    /** Writes a record again that the store has lost while there is evidence, unless another host does so first. */
    void recordRemoved(Fingerprint fingerprint) {
        if (!quarantine.evidence(fingerprint).isEmpty()) {
            learned(fingerprint);
        }
    }

    /** Starts the next write that is due. */
    void tick(long nowMillis) {
        if (writing) {
            return;
        }
        for (Map.Entry<Fingerprint, Pending> each : pending.entrySet()) {
            if (each.getValue().dueAtMillis() <= nowMillis) {
                write(each.getKey());
                return;
            }
        }
    }

    private void write(Fingerprint fingerprint) {
        pending.remove(fingerprint);
        List<CrashEvidence> evidence = quarantine.evidence(fingerprint);
        if (evidence.isEmpty()) {
            return;
        }
        writing = true;
        store.grantLease(CrashQuarantine.EXPIRY_MILLIS, lease -> {
            if (lease.isLeft()) {
                written(fingerprint, Either.left(lease.getLeft()));
                return;
            }
            StoreItem item = format.write(fingerprint, evidence);
            store.put(item.key(), item.value(), lease.get(), Option.none(), reply -> written(fingerprint, reply));
        });
    }

    private void written(Fingerprint fingerprint, Either<StoreFailure, Long> reply) {
        writing = false;
        if (reply.isRight()) {
            return;
        }
        log.writeImportant(LogLine.of(LogEvent.QUARANTINE_NOT_RECORDED)
                .with("fingerprint", fingerprint.text())
                .with("reason", reply.getLeft().name()));
        pending.putIfAbsent(fingerprint, new Pending(clock.getAsLong() + RETRY_DELAY_MILLIS, false));
    }

    private record Pending(long dueAtMillis, boolean learned) {}
}
