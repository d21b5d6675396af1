package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.vavr.control.Option;

/**
 * Which entry hosts callers should use.
 *
 * <p>Invariant: a caller is sent out of its region only if no host there takes callers; then to a region that may serve
 * all that it asks for, and to any other only if no host of those has taken callers for a while. Confined to its owner's
 * thread.
 */
public final class CallerDirectory {
    /** Most hosts that a caller is told of. */
    static final int MOST = 64;

    /**
     * How long the last host of the home regions may be away before callers are sent elsewhere. Hosts that are stopped
     * in turn are back sooner, and a host that has just started doesn't know the others yet: sent elsewhere meanwhile,
     * callers would hand bodies to hosts that should not have them. One would notice homed requests at hosts of other
     * regions while nothing was wrong.
     */
    static final long AWAY_MILLIS = 6_000;

    private final Map<List<String>, Long> homeSeenAtMillis = new HashMap<>();
    private final long startedAtMillis;

    private CallerDirectory(long startedAtMillis) {
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Makes the directory of a host that has just started.
     *
     * @param nowMillis the time
     * @return the directory
     */
    public static CallerDirectory of(long nowMillis) {
        return new CallerDirectory(nowMillis);
    }

    /**
     * Lists the hosts for a caller.
     *
     * @param hosts the hosts that take callers
     * @param place where the caller is; none while no configuration tells where its requests may go
     * @param nowMillis the time
     * @return the addresses; none if it is better for the caller to ask another host, or later
     */
    public List<String> list(Collection<GatewayHost> hosts, Option<CallerPlace> place, long nowMillis) {
        if (place.isEmpty()) {
            // A host that has just started may know other hosts before it knows the configuration. Without the homes in
            // it, every host would seem right for every caller.
            return List.of();
        }
        CallerPlace caller = place.get();
        List<Predicate<GatewayHost>> choices = new ArrayList<>();
        choices.add(host -> host.place().dataCentre().equals(caller.dataCentre())
                && host.place().region().equals(caller.region()));
        choices.add(host -> host.place().region().equals(caller.region()));
        caller.homeRegions()
                .forEach(home -> choices.add(host -> host.place().region().equals(home)));
        if (caller.homeRegions().isEmpty()) {
            choices.add(host -> true);
        }
        for (Predicate<GatewayHost> choice : choices) {
            List<String> addresses = addresses(hosts, choice);
            if (!addresses.isEmpty()) {
                homeSeenAtMillis.put(caller.homeRegions(), nowMillis);
                return addresses;
            }
        }
        long seenAtMillis = homeSeenAtMillis.getOrDefault(caller.homeRegions(), startedAtMillis);
        return nowMillis - seenAtMillis < AWAY_MILLIS ? List.of() : addresses(hosts, host -> true);
    }

    private static List<String> addresses(Collection<GatewayHost> hosts, Predicate<GatewayHost> choice) {
        return hosts.stream()
                .filter(choice)
                .limit(MOST)
                .map(GatewayHost::callerAddress)
                .toList();
    }
}
