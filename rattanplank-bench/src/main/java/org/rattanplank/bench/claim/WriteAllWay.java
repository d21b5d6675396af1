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

/** The claims of the core on every host, over links with a modelled delay. Not thread safe. */
final class WriteAllWay implements ClaimWay {
    static final long LINK_FIXED_MICROS = 200;
    static final long LINK_MEAN_MORE_MICROS = 50;

    private static final long TICK_MICROS = 100_000;
    private static final Location PLACE = Location.of("suva", "suva-hall");

    private final VirtualTime time;
    private final ModelStore store;
    private final Map<String, Claims> processes = new TreeMap<>();
    private final Map<String, Consumer<ClaimDecision>> waiting = new HashMap<>();
    private long messages;
    private long coreNanos;

    WriteAllWay(VirtualTime time, ModelStore store, List<String> hosts) {
        this.time = time;
        this.store = store;
        for (String host : hosts) {
            processes.put(host, Claims.of(new NodeIdentity(host, 1, PLACE)));
        }
        for (String host : hosts) {
            hosts.stream()
                    .filter(other -> !other.equals(host))
                    .forEach(other -> at(host, claims -> claims.connected(other, 1, time.nowMillis())));
            tick(host);
        }
    }

    @Override
    public String label() {
        return "write-all";
    }

    /**
     * How many messages hosts sent to one another.
     *
     * @return the number
     */
    long messages() {
        return messages;
    }

    /**
     * How long the core's own code took, on this machine.
     *
     * @return the time of all hosts together
     */
    long coreNanos() {
        return coreNanos;
    }

    @Override
    public void open(String host, ClaimKey key, String requestId, Consumer<ClaimDecision> decided) {
        waiting.put(requestId, decided);
        at(host, claims -> claims.open(key, requestId, time.nowMillis()));
    }

    @Override
    public void settle(String host, ClaimKey key, String requestId, ClaimResult result) {
        at(host, claims -> claims.settle(key, requestId, result, time.nowMillis()));
    }

    @Override
    public void kill(String host) {
        processes.remove(host);
        for (String other : processes.keySet()) {
            travel(() -> at(other, claims -> claims.disconnected(host, true, time.nowMillis())));
        }
    }

    private void tick(String host) {
        at(host, claims -> claims.tick(time.nowMillis()));
        if (processes.containsKey(host)) {
            time.after(TICK_MICROS, () -> tick(host));
        }
    }

    private void at(String host, Function<Claims, List<ClaimAction>> event) {
        Claims claims = processes.get(host);
        if (claims == null) {
            return;
        }
        long startNanos = System.nanoTime();
        List<ClaimAction> steps = event.apply(claims);
        coreNanos += System.nanoTime() - startNanos;
        steps.forEach(step -> take(host, step));
    }

    private void take(String host, ClaimAction step) {
        if (step instanceof ClaimAction.Send send) {
            messages++;
            travel(() -> at(send.host(), claims -> claims.receive(host, 1, send.message(), time.nowMillis())));
        } else if (step instanceof ClaimAction.CallStore call) {
            store.call(
                    call.command(),
                    reply -> at(host, claims -> claims.storeReplied(call.callId(), reply, time.nowMillis())));
        } else if (step instanceof ClaimAction.Decide decide) {
            waiting.remove(decide.requestId()).accept(decide.decision());
        }
    }

    private void travel(Runnable arrival) {
        time.afterAbout(LINK_FIXED_MICROS, LINK_MEAN_MORE_MICROS, arrival);
    }
}
