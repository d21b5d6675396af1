package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.vavr.control.Option;

/**
 * Determines which entry hosts callers should use.
 *
 * <p>Invariants: a caller is sent out of its region only if no host there accepts callers; then to a region that may
 * serve all of its requests, and to any other only if those regions have had no host for a while. A host that is about
 * to shut down, or that has been silent and may have lost power, is listed only where no other may be. Confined to its
 * owner's thread.
 */
public final class EntryHostDirectory {
    /** Maximum number of hosts that a caller receives. */
    static final int MAX_ADDRESSES = 64;

    /**
     * How long the regions that may serve a caller's requests may be without a host before the caller is sent
     * elsewhere. Hosts that are stopped in turn are back sooner, and a host that has just started doesn't know the
     * others yet: sent elsewhere meanwhile, callers would send bodies to hosts that must not have them. Symptom:
     * requests with home regions at hosts of other regions while nothing is wrong.
     */
    static final long ABSENCE_TIMEOUT_MILLIS = 6_000;

    private final Map<String, Long> regionSeenAtMillis = new HashMap<>();
    private final long startedAtMillis;

    private EntryHostDirectory(long startedAtMillis) {
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Creates the directory of a host that has just started.
     *
     * @param nowMillis the time
     * @return the directory
     */
    public static EntryHostDirectory of(long nowMillis) {
        return new EntryHostDirectory(nowMillis);
    }

    /**
     * Records the regions that have hosts. Called periodically: if only regions that callers request were recorded, a
     * region that nobody has requested recently would count as absent at once when its last host is.
     *
     * @param hosts the hosts that accept work
     * @param nowMillis the time
     */
    public void recordHosts(Collection<GatewayHost> hosts, long nowMillis) {
        for (GatewayHost host : hosts) {
            regionSeenAtMillis.put(host.location().region(), nowMillis);
        }
    }

    /**
     * Lists the hosts for a caller while none is about to shut down.
     *
     * @param hosts the hosts that accept callers
     * @param location the location of the caller; none while no configuration states where its requests may go
     * @param nowMillis the time
     * @return the addresses; empty if the caller should query another host, or retry later
     */
    public List<String> list(Collection<GatewayHost> hosts, Option<CallerLocation> location, long nowMillis) {
        return list(hosts, List.of(), Set.of(), location, nowMillis);
    }

    /**
     * Lists the hosts for a caller.
     *
     * @param hosts the hosts that accept callers
     * @param closing the hosts that are about to shut down and accept work as the last of their regions
     * @param silent those of the hosts that accept callers which are overdue; a caller whose host has lost power waits
     *     for a connection until it times out
     * @param location the location of the caller; none while no configuration states where its requests may go
     * @param nowMillis the time
     * @return the addresses; empty if the caller should query another host, or retry later
     */
    public List<String> list(
            Collection<GatewayHost> hosts,
            Collection<GatewayHost> closing,
            Set<GatewayHost> silent,
            Option<CallerLocation> location,
            long nowMillis) {
        recordHosts(hosts, nowMillis);
        recordHosts(closing, nowMillis);
        if (location.isEmpty()) {
            // A host that has just started may know other hosts before it knows the configuration. Without its home
            // regions, every host would seem suitable for every caller.
            return List.of();
        }
        CallerLocation caller = location.get();
        List<Predicate<GatewayHost>> suitable = suitableFor(caller);
        // A host that is about to shut down is worth a new connection only to callers whose data must not go elsewhere;
        // others keep their connections while no host accepts callers.
        List<Predicate<GatewayHost>> suitableThoughClosing =
                caller.homeRegions().isEmpty() ? List.of() : suitable;
        List<GatewayHost> responsive =
                hosts.stream().filter(host -> !silent.contains(host)).toList();
        return firstMatch(responsive, nearby(caller))
                .orElse(() -> firstMatch(hosts, suitable))
                .orElse(() -> firstMatch(closing, suitableThoughClosing))
                .orElse(() -> werePresentRecently(caller, nowMillis) ? Option.some(List.of()) : Option.none())
                .orElse(() -> firstMatch(hosts, inRegions(caller.homeRegions())))
                .getOrElse(() -> addresses(hosts, host -> true));
    }

    /** Returns which hosts may serve all requests of a caller, best first. */
    private static List<Predicate<GatewayHost>> suitableFor(CallerLocation caller) {
        List<Predicate<GatewayHost>> choices = new ArrayList<>(nearby(caller));
        choices.addAll(inRegions(caller.commonHomes()));
        if (caller.homeRegions().isEmpty()) {
            choices.add(host -> true);
        }
        return choices;
    }

    /** Returns which hosts are in the caller's region, those of its data centre first. */
    private static List<Predicate<GatewayHost>> nearby(CallerLocation caller) {
        Predicate<GatewayHost> inRegion = host -> host.location().region().equals(caller.region());
        return List.of(inRegion.and(host -> host.location().dataCentre().equals(caller.dataCentre())), inRegion);
    }

    private static List<Predicate<GatewayHost>> inRegions(List<String> regions) {
        return regions.stream()
                .<Predicate<GatewayHost>>map(
                        home -> host -> host.location().region().equals(home))
                .toList();
    }

    private boolean werePresentRecently(CallerLocation caller, long nowMillis) {
        return Stream.concat(Stream.of(caller.region()), caller.commonHomes().stream())
                .anyMatch(region ->
                        nowMillis - regionSeenAtMillis.getOrDefault(region, startedAtMillis) < ABSENCE_TIMEOUT_MILLIS);
    }

    private static Option<List<String>> firstMatch(
            Collection<GatewayHost> hosts, List<Predicate<GatewayHost>> choices) {
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
