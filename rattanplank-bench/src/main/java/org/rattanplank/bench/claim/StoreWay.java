package org.rattanplank.bench.claim;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreReply;

/**
 * Claims each call by a compare-and-swap in the store and writes its end there too. A model: it keeps no answers, so a
 * repeat of a call that has ended is answered as kept without a body. Not thread safe.
 */
final class StoreWay implements ClaimWay {
    private static final String DONE = "done";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ModelStore store;
    private final Set<String> killed = new TreeSet<>();
    private final Map<String, Long> revisions = new TreeMap<>();

    StoreWay(ModelStore store) {
        this.store = store;
    }

    @Override
    public String label() {
        return "store-cas";
    }

    @Override
    public void open(String host, ClaimKey key, String requestId, Consumer<ClaimDecision> decided) {
        store.call(new StoreCommand.Put(key.key(), requestId, 0, 0), reply -> {
            if (!killed.contains(host)) {
                decided.accept(decision(requestId, reply));
            }
        });
    }

    private ClaimDecision decision(String requestId, StoreReply reply) {
        if (reply instanceof StoreReply.Written written) {
            revisions.put(requestId, written.revision());
            return new ClaimDecision.Run();
        }
        if (reply instanceof StoreReply.Conflicted conflicted) {
            return conflicted.current().exists(entry -> entry.value().equals(DONE))
                    ? new ClaimDecision.Replay(BookingLoad.ANSWER)
                    : new ClaimDecision.Unknown(Failure.of(Step.CLAIM, "store", "the key is claimed"));
        }
        return new ClaimDecision.NotRun(Failure.of(Step.CLAIM, "store", "the store is out"), RETRY_AFTER_MILLIS);
    }

    @Override
    public void settle(String host, ClaimKey key, String requestId, ClaimResult result) {
        store.call(new StoreCommand.Put(key.key(), DONE, revisions.getOrDefault(requestId, 0L), 0), reply -> {});
    }

    @Override
    public void kill(String host) {
        killed.add(host);
    }
}
