package org.rattanplank.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.schema.message.ClaimSettle;

/**
 * How calls of this host ended, as far as some member may not know yet.
 *
 * <p>Invariant: a result is sent again until every member of the newest view has acknowledged it. Not thread safe;
 * guarded by the lock of {@link Claims}.
 */
final class Results {
    private final long resendMillis;
    private final Map<ClaimKey, AwaitedHosts> unknown = new LinkedHashMap<>();

    Results(long resendMillis) {
        this.resendMillis = resendMillis;
    }

    Results copy() {
        Results copy = new Results(resendMillis);
        copy.unknown.putAll(unknown);
        return copy;
    }

    boolean isEmpty() {
        return unknown.isEmpty();
    }

    Option<Claim> find(ClaimKey key, String requestId) {
        return Option.of(unknown.get(key)).map(AwaitedHosts::claim).filter(claim -> claim.isOf(requestId));
    }

    void add(Claim claim, List<ViewMemberId> members, long nowMillis, StepList out) {
        if (members.isEmpty()) {
            return;
        }
        AwaitedHosts awaited = AwaitedHosts.of(claim, members, nowMillis);
        unknown.put(claim.key(), awaited);
        send(awaited, out);
    }

    /** Keeps a result to be sent with the next tick. */
    void addLater(Claim claim, List<ViewMemberId> members) {
        if (!members.isEmpty()) {
            unknown.put(claim.key(), AwaitedHosts.of(claim, members, Long.MIN_VALUE / 2));
        }
    }

    void acknowledged(String host, ClaimKey key, String requestId) {
        unknown.computeIfPresent(key, (same, awaited) -> {
            AwaitedHosts rest = awaited.claim().isOf(requestId) ? awaited.acknowledged(host) : awaited;
            return rest.isDone() ? null : rest;
        });
    }

    /** Starts again with the members of another view, which may not all have been told. */
    void retarget(List<ViewMemberId> members) {
        unknown.replaceAll((key, awaited) -> AwaitedHosts.of(awaited.claim(), members, Long.MIN_VALUE / 2));
        unknown.values().removeIf(AwaitedHosts::isDone);
    }

    void resend(long nowMillis, StepList out) {
        for (Map.Entry<ClaimKey, AwaitedHosts> entry : unknown.entrySet()) {
            if (nowMillis - entry.getValue().sentMillis() >= resendMillis) {
                entry.setValue(entry.getValue().sent(nowMillis));
                send(entry.getValue(), out);
            }
        }
    }

    private static void send(AwaitedHosts awaited, StepList out) {
        ClaimSettle message = new ClaimSettle(ClaimEntries.toEntry(awaited.claim()));
        awaited.hosts().forEach(host -> out.send(host, message));
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        unknown.forEach((key, awaited) -> text.append(awaited.claim()).append(awaited.hosts()));
        return text.toString();
    }
}
