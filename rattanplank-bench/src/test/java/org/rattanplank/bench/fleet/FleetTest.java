package org.rattanplank.bench.fleet;

import java.util.List;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.Event;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.member.EntryHost;
import org.rattanplank.core.route.RemoteRegion;
import org.rattanplank.core.route.TargetLoad;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetTest {
    private static final List<String> REGIONS = List.of("suva", "lautoka", "labasa");
    private static final long DETECTION_MILLIS = 3_000;
    private static final long IN_FORCE_MILLIS = 2_000;
    private static final long WATCH_DELIVERY_MILLIS = 200;

    private final VirtualFleet fleet = new VirtualFleet();

    @Test
    void shouldOmitEntryHostWhenItsProcessIsKilled() {
        // Guards against directing callers to a terminated host. The process is killed while the host list still
        // contains it, so entry hosts must not be taken from the host list alone.
        startThreeRegions();
        fleet.kill("suva-1").advance(DETECTION_MILLIS);
        fleet.runningHosts().forEach(host -> assertFalse(entryHosts(host).contains("suva-1"), host));
        fleet.start("suva-1").deliverHostList("suva-1").advance(DETECTION_MILLIS);
        fleet.runningHosts().forEach(host -> assertTrue(entryHosts(host).contains("suva-1"), host));
    }

    @Test
    void shouldOmitEntryHostWhenItDrains() {
        startThreeRegions();
        fleet.deliver("suva-1", new Event.DrainAsked());
        fleet.advance(DETECTION_MILLIS);
        fleet.runningHosts().forEach(host -> assertFalse(entryHosts(host).contains("suva-1"), host));
        fleet.kill("suva-1")
                .advance(1_000)
                .start("suva-1")
                .deliverHostList("suva-1")
                .advance(DETECTION_MILLIS);
        fleet.runningHosts()
                .forEach(host -> assertTrue(entryHosts(host).contains("suva-1"), host + " after a restart"));
    }

    @Test
    void shouldNameOnlyReachableHostsWhenDataCentreIsPartitioned() {
        // Guards against directing callers to unreachable hosts. The links of one data centre become unresponsive while
        // the host list is unchanged; every host must detect this, not only the hosts that have the links.
        startThreeRegions();
        partitionLabasa();
        fleet.advance(DETECTION_MILLIS);
        assertEquals(List.of("labasa-1", "labasa-2"), entryHosts("labasa-1"));
        assertEquals(List.of("labasa-1", "labasa-2"), entryHosts("labasa-2"));
        assertEquals(List.of("lautoka-1", "lautoka-2", "suva-1", "suva-2"), entryHosts("suva-1"));
        fleet.endPartitions().advance(2 * DETECTION_MILLIS);
        fleet.runningHosts().forEach(host -> assertEquals(6, entryHosts(host).size(), host));
    }

    @Test
    void shouldKnowEveryRemoteHostWhenOnlyRepresentativesAreLinked() {
        startThreeRegions();
        for (String host : fleet.runningHosts()) {
            int reachable = fleet.node(host).status().regions().stream()
                    .map(RemoteRegion::hosts)
                    .mapToInt(List::size)
                    .sum();
            assertEquals(4, reachable, host);
        }
    }

    @Test
    void shouldSpreadClientAccountsWhenTheyRequestEntryHosts() {
        startThreeRegions();
        TreeSet<String> first = new TreeSet<>();
        for (int i = 0; i < 20; i++) {
            first.add(fleet.node("suva-1")
                    .entryHosts("caller-" + i, fleet.nowMillis())
                    .hosts()
                    .get(0)
                    .host());
        }
        assertEquals(new TreeSet<>(List.of("suva-1", "suva-2")), first);
    }

    @Test
    void shouldExcludeTargetWhenItReportsLeavingBeforeHostList() {
        // Guards against sending new work to a target that is leaving. The target reports to one host that it leaves
        // while the host list still shows it unchanged; the lagging list must not override the newer report.
        startThreeRegions();
        fleet.deliver("suva-2", new Event.LoadReported(leavingLoad("plank-suva")));
        fleet.advance(DETECTION_MILLIS);
        assertEquals(List.of(), targets("suva-1"));
        assertEquals(List.of(), targets("suva-2"));
        fleet.publishHostList(0).advance(DETECTION_MILLIS);
        assertEquals(List.of(), targets("suva-1"));
    }

    @Test
    void shouldExcludeTargetWhenItSaysInAnAnswerThatItLeaves() {
        // Guards against sending new work to a target that has said so in an answer, while its load report and the host
        // list still show it unchanged.
        startThreeRegions();
        fleet.deliver("suva-2", new Event.TargetLeaving("plank-suva"));
        assertEquals(List.of(), targets("suva-2"));
        fleet.advance(DETECTION_MILLIS);
        assertEquals(List.of(), targets("suva-1"));
        fleet.publishHostList(0).advance(DETECTION_MILLIS);
        assertEquals(List.of(), targets("suva-2"));
    }

    @Test
    void shouldKeepConfigurationWhenStoreIsDownDuringRollingReplacement() {
        // Guards against rejected calls due to a missing or old configuration. All entry hosts are replaced one after
        // the other while the store is down, so a new host must receive the configuration from its peers.
        startThreeRegions();
        fleet.storeDown(true).advance(1_000);
        for (String host : List.copyOf(fleet.runningHosts())) {
            fleet.kill(host).advance(1_000).start(host).deliverHostList(host).advance(4_000);
            assertEquals(1, generation(host), host);
        }
        fleet.runningHosts().forEach(host -> assertEquals(6, entryHosts(host).size(), host));
    }

    @Test
    void shouldApplyConfigurationWhenWatchesAreUnresponsive() {
        // Guards against a stored change that is in force nowhere. An intermediary between the hosts and the store
        // drops
        // the state of the watch connections while new calls work, so an unresponsive watch must be replaced.
        startThreeRegions();
        fleet.makeWatchesUnresponsive().writeConfiguration(document(2)).advance(11_000);
        fleet.runningHosts().forEach(host -> assertEquals(2, generation(host), host));
        fleet.writeConfiguration(document(3)).advance(WATCH_DELIVERY_MILLIS);
        fleet.runningHosts().forEach(host -> assertEquals(3, generation(host), host + " by a new watch"));
    }

    @Test
    void shouldApplyNewestConfigurationWhenPartitionEnds() {
        // Guards against a data centre that keeps or spreads an old generation after a partition. Two changes come into
        // force elsewhere during the partition, and the data centre has no access to the store when the partition ends.
        // It must receive the configuration from peers, and no host may adopt an older generation from a peer.
        startThreeRegions();
        partitionLabasa();
        fleet.storePartitioned("labasa-hall", true);
        fleet.advance(5_000)
                .writeConfiguration(document(2))
                .advance(3_000)
                .writeConfiguration(document(3))
                .advance(3_000);
        assertEquals(3, generation("suva-1"));
        assertEquals(1, generation("labasa-1"));
        fleet.endPartitions().advance(8_000);
        fleet.runningHosts().forEach(host -> assertEquals(3, generation(host), host));
    }

    @Test
    void shouldReceiveConfigurationFromPeersWhenStoreIsUnreachable() {
        startThreeRegions();
        fleet.storePartitioned("labasa-hall", true).advance(5_000);
        fleet.writeConfiguration(document(2)).advance(IN_FORCE_MILLIS);
        fleet.runningHosts().forEach(host -> assertEquals(2, generation(host), host));
    }

    private void startThreeRegions() {
        for (String region : REGIONS) {
            fleet.addHost(region + "-1", region, region + "-hall").addHost(region + "-2", region, region + "-hall");
            fleet.addTarget("plank-" + region, "plank-serve", region, region + "-hall");
        }
        fleet.writeConfiguration(document(1)).publishHostList(0).advance(10_000);
        fleet.runningHosts().forEach(host -> assertEquals(1, generation(host), host));
    }

    private void partitionLabasa() {
        fleet.partition("labasa-hall", "suva-hall").partition("labasa-hall", "lautoka-hall");
    }

    private List<String> entryHosts(String host) {
        return fleet.node(host).entryHosts("", fleet.nowMillis()).hosts().stream()
                .map(EntryHost::host)
                .sorted()
                .toList();
    }

    private List<String> targets(String host) {
        return fleet.node(host).status().targets().stream()
                .map(ListedHost::name)
                .toList();
    }

    private long generation(String host) {
        return fleet.node(host).configuration().generation();
    }

    private TargetLoad leavingLoad(String target) {
        return new TargetLoad(target, "plank-serve", List.of(), 0, 0, 8, 30, 1_000, true, fleet.nowMillis());
    }

    private static String document(long generation) {
        return FleetDocuments.of(generation, 3, 3, 2).toText();
    }
}
