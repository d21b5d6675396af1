package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.RendezvousHashing;

/**
 * Orders entry hosts for a caller: its home data centre first, then its home region, then the rest. Stateless and thread
 * safe.
 *
 * <p>Within each group, rendezvous hashing by account orders the hosts, which spreads accounts over hosts without a
 * load balancer.
 */
final class EntryHostOrder {
    private static final int MAX_ENTRY_HOSTS = 24;

    private EntryHostOrder() {}

    static List<EntryHost> order(List<ListedHost> hosts, String account, String homeDataCentre) {
        Map<String, ListedHost> byName = new TreeMap<>();
        Map<String, List<String>> byDataCentre = new TreeMap<>();
        for (ListedHost host : hosts) {
            byName.put(host.name(), host);
            byDataCentre
                    .computeIfAbsent(host.location().dataCentre(), name -> new ArrayList<>())
                    .add(host.name());
        }
        Option<String> homeRegion = Option.of(byDataCentre.get(homeDataCentre))
                .map(names -> byName.get(names.get(0)).location().region());
        List<String> dataCentres = new ArrayList<>(RendezvousHashing.rank(byDataCentre.keySet(), account));
        dataCentres.sort(Comparator.comparingInt(name -> {
            String region = byName.get(byDataCentre.get(name).get(0)).location().region();
            return distance(name.equals(homeDataCentre), homeRegion.contains(region));
        }));
        return dataCentres.stream()
                .flatMap(name -> RendezvousHashing.rank(byDataCentre.get(name), account).stream())
                .limit(MAX_ENTRY_HOSTS)
                .map(name -> entryHost(byName.get(name)))
                .toList();
    }

    private static int distance(boolean isHome, boolean isInHomeRegion) {
        if (isHome) {
            return 0;
        }
        return isInHomeRegion ? 1 : 2;
    }

    private static EntryHost entryHost(ListedHost host) {
        return new EntryHost(
                host.name(), host.location().region(), host.location().dataCentre(), host.address(), host.port());
    }
}
