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
    private static final long NOTICED_MILLIS = 3_000;
    private static final long IN_FORCE_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 200;

    private final VirtualFleet fleet = new VirtualFleet();

    @Test
    void shouldNameHostsNowhereWhenOneIsLost() {
        // Symptom: callers are sent to a host that is gone. Sequence: a process dies; the platform's list still shows
        // it. Cause: entry-hosts answered from the list alone.
        koro();
        fleet.kill("suva-1").run(NOTICED_MILLIS);
        fleet.live().forEach(host -> assertFalse(entryHosts(host).contains("suva-1"), host));
        fleet.start("suva-1").list("suva-1").run(NOTICED_MILLIS);
        fleet.live().forEach(host -> assertTrue(entryHosts(host).contains("suva-1"), host));
    }

    @Test
    void shouldNameHostsNowhereWhenOneDrains() {
        koro();
        fleet.feed("suva-1", new Event.DrainAsked());
        fleet.run(NOTICED_MILLIS);
        fleet.live().forEach(host -> assertFalse(entryHosts(host).contains("suva-1"), host));
        fleet.kill("suva-1").run(1_000).start("suva-1").list("suva-1").run(NOTICED_MILLIS);
        fleet.live().forEach(host -> assertTrue(entryHosts(host).contains("suva-1"), host + " after a restart"));
    }

    @Test
    void shouldNameOnlyItsOwnHostsWhenDataCentreIsCutOff() {
        // Symptom: callers wait on hosts that nobody can reach. Sequence: the links of one data centre go silent while
        // the list stays as it is. Cause: silence is not noticed, or only by the hosts that hold the links.
        koro();
        cutOffLabasa();
        fleet.run(NOTICED_MILLIS);
        assertEquals(List.of("labasa-1", "labasa-2"), entryHosts("labasa-1"));
        assertEquals(List.of("labasa-1", "labasa-2"), entryHosts("labasa-2"));
        assertEquals(List.of("lautoka-1", "lautoka-2", "suva-1", "suva-2"), entryHosts("suva-1"));
        fleet.heal().run(2 * NOTICED_MILLIS);
        fleet.live().forEach(host -> assertEquals(6, entryHosts(host).size(), host));
    }

    @Test
    void shouldReachEveryRemoteHostWhenOnlySpeakersAreLinked() {
        koro();
        for (String host : fleet.live()) {
            int reachable = fleet.node(host).status().regions().stream()
                    .map(RemoteRegion::hosts)
                    .mapToInt(List::size)
                    .sum();
            assertEquals(4, reachable, host);
        }
    }

    @Test
    void shouldSpreadAccountsWhenTheyAskForEntryHosts() {
        koro();
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
    void shouldGiveNoWorkWhenTargetSaysItLeavesAndTheListIsLate() {
        // Symptom: a target that is leaving gets work again. Sequence: the target tells one host that it leaves; the
        // list shows it unchanged, later leaving, later gone. Cause: a lagging list is believed over a newer word.
        koro();
        fleet.feed("suva-2", new Event.LoadReported(leavingLoad("plank-suva")));
        fleet.run(NOTICED_MILLIS);
        assertEquals(List.of(), targets("suva-1"));
        assertEquals(List.of(), targets("suva-2"));
        fleet.relist(0).run(NOTICED_MILLIS);
        assertEquals(List.of(), targets("suva-1"));
    }

    @Test
    void shouldHoldGenerationWhenStoreIsOutForWholeRollingReplacement() {
        // Symptom: callers get refusals for want of a configuration, or an old one. Sequence: the store is down; every
        // entry host is replaced, one after the other. Cause: a new host learns only from the store.
        koro();
        fleet.storeDown(true).run(1_000);
        for (String host : List.copyOf(fleet.live())) {
            fleet.kill(host).run(1_000).start(host).list(host).run(4_000);
            assertEquals(1, generation(host), host);
        }
        fleet.live().forEach(host -> assertEquals(6, entryHosts(host).size(), host));
    }

    @Test
    void shouldComeIntoForceWhenWatchesAreSilent() {
        // Symptom: a change is in the store and in force nowhere. Sequence: something between the hosts and the store
        // loses track of the watches' connections, while new calls work. Cause: a watch is trusted for ever.
        koro();
        fleet.silenceWatches().configure(document(2)).run(11_000);
        fleet.live().forEach(host -> assertEquals(2, generation(host), host));
        fleet.configure(document(3)).run(WATCHED_MILLIS);
        fleet.live().forEach(host -> assertEquals(3, generation(host), host + " by a new watch"));
    }

    @Test
    void shouldCatchUpAndNeverFallBackWhenCutOffDataCentreReturns() {
        // Symptom: a data centre that returns goes on with an old generation, or spreads it. Sequence: it is cut off
        // from all, two changes come into force elsewhere, the cut ends while the store is down. Cause: learning from
        // the store alone, or moving to whatever a peer has.
        koro();
        cutOffLabasa();
        fleet.cutFromStore("labasa-hall", true);
        fleet.run(5_000)
                .configure(document(2))
                .run(3_000)
                .configure(document(3))
                .run(3_000);
        assertEquals(3, generation("suva-1"));
        assertEquals(1, generation("labasa-1"));
        fleet.heal().run(8_000);
        fleet.live().forEach(host -> assertEquals(3, generation(host), host));
    }

    @Test
    void shouldLearnFromPeersWhenItsOwnStoreConnectionIsCut() {
        koro();
        fleet.cutFromStore("labasa-hall", true).run(5_000);
        fleet.configure(document(2)).run(IN_FORCE_MILLIS);
        fleet.live().forEach(host -> assertEquals(2, generation(host), host));
    }

    private void koro() {
        for (String region : REGIONS) {
            fleet.add(region + "-1", region, region + "-hall").add(region + "-2", region, region + "-hall");
            fleet.target("plank-" + region, "plank-serve", region, region + "-hall");
        }
        fleet.configure(document(1)).relist(0).run(10_000);
        fleet.live().forEach(host -> assertEquals(1, generation(host), host));
    }

    private void cutOffLabasa() {
        fleet.cut("labasa-hall", "suva-hall").cut("labasa-hall", "lautoka-hall");
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
