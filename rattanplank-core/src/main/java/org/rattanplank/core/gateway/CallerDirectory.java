package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.vavr.control.Option;

/**
 * Which entry hosts callers should use.
 *
 * <p>Invariants: a caller is sent out of its region only if no host there takes callers; then to a region that may serve
 * all that it asks for, and to any other only if no host of those was there for a while. A host that is about to end is
 * named only where no other may be. Confined to its owner's thread.
 */
public final class CallerDirectory {
    /** Most hosts that a caller is told of. */
    static final int MAX_ADDRESSES = 64;

    /**
     * How long the last host of the regions that may have a caller's requests may be away before it is sent elsewhere.
     * Hosts that are stopped in turn are back sooner, and a host that has just started doesn't know the others yet: sent
     * elsewhere meanwhile, callers would hand bodies to hosts that should not have them. One would notice homed requests
     * at hosts of other regions while nothing was wrong.
     */
    static final long ABSENCE_TIMEOUT_MILLIS = 6_000;

    private final Map<String, Long> regionSeenAtMillis = new HashMap<>();
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
     * Takes note of the regions that have hosts. Called again and again: if only those were noted that a caller asked
     * for, a region that nobody had asked for of late would count as away at once when its last host is.
     *
     * @param hosts the hosts that take work
     * @param nowMillis the time
     */
    public void saw(Collection<GatewayHost> hosts, long nowMillis) {
        for (GatewayHost host : hosts) {
            regionSeenAtMillis.put(host.place().region(), nowMillis);
        }
    }

    /**
     * Lists the hosts for a caller while none is about to end.
     *
     * @param hosts the hosts that take callers
     * @param place where the caller is; none while no configuration tells where its requests may go
     * @param nowMillis the time
     * @return the addresses; none if it is better for the caller to ask another host, or later
     */
    public List<String> list(Collection<GatewayHost> hosts, Option<CallerPlace> place, long nowMillis) {
        return list(hosts, List.of(), place, nowMillis);
    }

    /**
     * Lists the hosts for a caller.
     *
     * @param hosts the hosts that take callers
     * @param ending the hosts that are about to end, and take work as the last of their regions
     * @param place where the caller is; none while no configuration tells where its requests may go
     * @param nowMillis the time
     * @return the addresses; none if it is better for the caller to ask another host, or later
     */
    public List<String> list(
            Collection<GatewayHost> hosts, Collection<GatewayHost> ending, Option<CallerPlace> place, long nowMillis) {
        saw(hosts, nowMillis);
        saw(ending, nowMillis);
        if (place.isEmpty()) {
            // A host that has just started may know other hosts before it knows the configuration. Without the homes in
            // it, every host would seem right for every caller.
            return List.of();
        }
        CallerPlace caller = place.get();
        List<Predicate<GatewayHost>> right = suitableFor(caller);
        // A host that is about to end is worth a new connection only to callers whose data must not go elsewhere;
        // others keep what they have while nobody takes callers.
        List<Predicate<GatewayHost>> rightThoughEnding = caller.homeRegions().isEmpty() ? List.of() : right;
        return firstMatch(hosts, right)
                .orElse(() -> firstMatch(ending, rightThoughEnding))
                .orElse(() -> werePresentRecently(caller, nowMillis) ? Option.some(List.of()) : Option.none())
                .orElse(() -> firstMatch(hosts, inRegions(caller.homeRegions())))
                .getOrElse(() -> addresses(hosts, host -> true));
    }

    /** Whose hosts may have all that a caller asks for, best first. */
    private static List<Predicate<GatewayHost>> suitableFor(CallerPlace caller) {
        List<Predicate<GatewayHost>> choices = new ArrayList<>();
        choices.add(host -> host.place().dataCentre().equals(caller.dataCentre())
                && host.place().region().equals(caller.region()));
        choices.add(host -> host.place().region().equals(caller.region()));
        choices.addAll(inRegions(caller.commonHomes()));
        if (caller.homeRegions().isEmpty()) {
            choices.add(host -> true);
        }
        return choices;
    }

    private static List<Predicate<GatewayHost>> inRegions(List<String> regions) {
        return regions.stream()
                .<Predicate<GatewayHost>>map(
                        home -> host -> host.place().region().equals(home))
                .toList();
    }

    private boolean werePresentRecently(CallerPlace caller, long nowMillis) {
        return Stream.concat(Stream.of(caller.region()), caller.commonHomes().stream())
                .anyMatch(region -> nowMillis - regionSeenAtMillis.getOrDefault(region, startedAtMillis) < ABSENCE_TIMEOUT_MILLIS);
    }

    private static Option<List<String>> firstMatch(Collection<GatewayHost> hosts, List<Predicate<GatewayHost>> choices) {
        for (Predicate<GatewayHost> choice : choices) {
            List<String> addresses = addresses(hosts, choice);
            if (!addresses.isEmpty()) {
                return Option.some(addresses);
            }
        }
        return Option.none();
    }

    private static List<String> addresses(Collection<GatewayHost> hosts, Predicate<GatewayHost> choice) {
        return hosts.stream()
                .filter(choice)
                .limit(MAX_ADDRESSES)
                .map(GatewayHost::callerAddress)
                .toList();
    }
}
