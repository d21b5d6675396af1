package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which entry hosts callers should use.
 *
 * <p>Invariant: a caller is sent out of its region only if no host there takes callers; then to a region that may serve
 * the homed routes of its host name, if one has hosts. Stateless and thread safe.
 */
public final class CallerDirectory {
    private CallerDirectory() {}

    /**
     * Lists the hosts for a caller.
     *
     * @param hosts the hosts that take callers
     * @param region the caller's region
     * @param dataCentre the caller's data centre
     * @param homes the regions that may serve what it asks for; empty if all may
     * @param most the longest list
     * @return the addresses
     */
    public static List<String> list(
            Collection<GatewayHost> hosts, String region, String dataCentre, Set<String> homes, int most) {
        List<Predicate<GatewayHost>> choices = List.of(
                host -> host.place().region().equals(region)
                        && host.place().dataCentre().equals(dataCentre),
                host -> host.place().region().equals(region),
                host -> homes.contains(host.place().region()),
                host -> true);
        for (Predicate<GatewayHost> choice : choices) {
            List<String> addresses = new ArrayList<>();
            for (GatewayHost host : hosts) {
                if (addresses.size() < most && choice.test(host)) {
                    addresses.add(host.callerAddress());
                }
            }
            if (!addresses.isEmpty()) {
                return addresses;
            }
        }
        return List.of();
    }
}
