package org.rattanplank.bench.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.claim.ClaimAction;
import org.rattanplank.core.claim.ClaimDecision;
import org.rattanplank.core.claim.ClaimKey;
import org.rattanplank.core.claim.ClaimResult;
import org.rattanplank.core.claim.Claims;
import org.rattanplank.core.host.Location;

/** Runs the claims of the core on every host, over links with a modelled delay. Not thread safe. */
final class WriteAllStrategy implements ClaimStrategy {
    static final long LINK_FIXED_DELAY_MICROS = 200;
    static final long LINK_MEAN_EXTRA_DELAY_MICROS = 50;

    private static final long TICK_INTERVAL_MICROS = 100_000;
    private static final Location LOCATION = Location.of("suva", "suva-hall");

    private final VirtualTime time;
    private final ModelStore store;
    private final Map<String, Claims> claimsByHost = new TreeMap<>();
    private final Map<String, Consumer<ClaimDecision>> pendingDecisions = new HashMap<>();
    private long messageCount;
    private long processingNanos;

    WriteAllStrategy(VirtualTime time, ModelStore store, List<String> hosts) {
        this.time = time;
        this.store = store;
        for (String host : hosts) {
            claimsByHost.put(host, Claims.of(new NodeIdentity(host, 1, LOCATION)));
        }
        for (String host : hosts) {
            hosts.stream()
                    .filter(other -> !other.equals(host))
                    .forEach(other -> process(host, claims -> claims.connected(other, 1, time.nowMillis())));
            tick(host);
        }
    }

    @Override
    public String label() {
        return "write-all";
    }

    /**
     * Returns the number of messages that hosts sent to each other.
     *
     * @return the number of messages
     */
    long messageCount() {
        return messageCount;
    }

    /**
     * Returns the elapsed time in the claims code of the core, measured in real time.
     *
     * @return the total time of all hosts in nanoseconds
     */
    long processingNanos() {
        return processingNanos;
    }

    @Override
    public void open(String host, ClaimKey key, String requestId, Consumer<ClaimDecision> decided) {
        pendingDecisions.put(requestId, decided);
        process(host, claims -> claims.open(key, requestId, time.nowMillis()));
    }

    @Override
    public void settle(String host, ClaimKey key, String requestId, ClaimResult result) {
        process(host, claims -> claims.settle(key, requestId, result, time.nowMillis()));
    }

    @Override
    public void kill(String host) {
        claimsByHost.remove(host);
        for (String other : claimsByHost.keySet()) {
            sendOverLink(() -> process(other, claims -> claims.disconnected(host, true, time.nowMillis())));
        }
    }

    private void tick(String host) {
        process(host, claims -> claims.tick(time.nowMillis()));
        if (claimsByHost.containsKey(host)) {
            time.after(TICK_INTERVAL_MICROS, () -> tick(host));
        }
    }

    private void process(String host, Function<Claims, List<ClaimAction>> event) {
        Claims claims = claimsByHost.get(host);
        if (claims == null) {
            return;
        }
        long startNanos = System.nanoTime();
        List<ClaimAction> actions = event.apply(claims);
        processingNanos += System.nanoTime() - startNanos;
        actions.forEach(action -> execute(host, action));
    }

    private void execute(String host, ClaimAction action) {
        if (action instanceof ClaimAction.Send send) {
            messageCount++;
            sendOverLink(
                    () -> process(send.host(), claims -> claims.receive(host, 1, send.message(), time.nowMillis())));
        } else if (action instanceof ClaimAction.CallStore call) {
            store.call(
                    call.command(),
                    reply -> process(host, claims -> claims.storeReplied(call.callId(), reply, time.nowMillis())));
        } else if (action instanceof ClaimAction.Decide decide) {
            pendingDecisions.remove(decide.requestId()).accept(decide.decision());
        }
    }

    private void sendOverLink(Runnable arrival) {
        time.afterRandomDelay(LINK_FIXED_DELAY_MICROS, LINK_MEAN_EXTRA_DELAY_MICROS, arrival);
    }
}
