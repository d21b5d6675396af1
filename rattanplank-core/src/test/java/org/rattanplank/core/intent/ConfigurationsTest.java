package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.Place;
import org.rattanplank.core.member.LocalPeer;
import org.rattanplank.core.member.PeerView;
import org.rattanplank.core.store.FakeStore;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ConfigurationPull;
import org.rattanplank.schema.message.ConfigurationPush;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConfigurationsTest {
    private static final long TICK_MILLIS = 100;
    private static final int HOSTS = 360;
    private static final int CENTRES = 82;

    private final FakeStore store = new FakeStore();
    private final Configurations configurations = of("suva-1");

    @Test
    void shouldStayWhenReadIsOlderThanWhatIsInForce() {
        // Symptom: a retired host gets work again for some seconds. Sequence: generation 2 is in force, a lagging
        // member of the store answers the next read with generation 1. Cause: the newest answer is taken for the
        // newest generation.
        store.write(Configurations.KEY, Files.document(1, "a").toText());
        long old = store.revision();
        store.write(Configurations.KEY, Files.document(2, "a", "b").toText());
        configurations.storeReplied(1, store.call(new StoreCommand.Get(Configurations.KEY), 0), 0);
        List<ConfigurationStep> steps = configurations.storeReplied(2, store.staleGet(Configurations.KEY, old), 100);
        assertEquals(List.of(), steps);
        assertEquals(2, configurations.current().generation());
    }

    @Test
    void shouldTakeThePeersNewerGenerationWhenARestartedHostReadsAnOlderOne() {
        // Symptom: a restarted host serves by an old configuration. Sequence: generation 2 was in force; the host
        // restarts; the store answers with generation 1 before any peer is heard. Cause: the first answer is put into
        // force.
        configurations.peers(new PeerView(Set.of("suva-2"), List.of(), List.of()), 0);
        StoreReply old = new StoreReply.Found(List.of(entry(Files.document(1, "a"))), 1);
        assertEquals(List.of(), configurations.storeReplied(1, old, 10));
        configurations.peers(view("suva-2"), 20);
        List<ConfigurationStep> steps = configurations.heard("suva-2", 2, 20);
        assertInstanceOf(ConfigurationPull.class, ((ConfigurationStep.Send) steps.get(0)).message());
        assertEquals(0, configurations.current().generation());
        configurations.receive("suva-2", DocumentDelta.whole(Files.document(2, "a", "b")), 30);
        assertEquals(2, configurations.current().generation());
    }

    @Test
    void shouldKeepTheFirstWhenAnotherDocumentHasTheSameGeneration() {
        configurations.storeReplied(1, new StoreReply.Found(List.of(entry(Files.document(2, "a"))), 1), 0);
        configurations.receive("suva-2", DocumentDelta.whole(Files.document(2, "b")), 10);
        configurations.storeReplied(2, new StoreReply.Found(List.of(entry(Files.document(2, "b"))), 2), 20);
        assertEquals(Set.of("a"), configurations.current().retiring());
        assertEquals(1, configurations.disagreements());
    }

    @Test
    void shouldSendOnlyTheFilesThatChangedWhenThePeerHasTheGenerationBefore() {
        Document first = Files.document(1, "a", "b");
        Document second = first.next(Files.retiring("a", "c"), "c2");
        Configurations peer = of("suva-2");
        peer.receive("suva-1", DocumentDelta.whole(first), 0);
        peer.tick(5_000);
        configurations.peers(view("suva-2"), 0);
        configurations.heard("suva-2", 1, 0);
        configurations.storeReplied(1, new StoreReply.Found(List.of(entry(first)), 1), 0);
        List<ConfigurationStep> steps =
                configurations.storeReplied(2, new StoreReply.Found(List.of(entry(second)), 2), 10);
        ConfigurationPush push =
                assertInstanceOf(ConfigurationPush.class, ((ConfigurationStep.Send) steps.get(1)).message());
        assertEquals("", push.document());
        assertEquals(Set.of("c"), push.changed().keySet());
        assertEquals(List.of("b"), push.removed());
        peer.receive("suva-1", push, 5_010);
        assertEquals(configurations.current(), peer.current());
    }

    @Test
    void shouldAskForTheWholeWhenAChangeStartsFromAnotherDocument() {
        Document first = Files.document(1, "a");
        configurations.storeReplied(1, new StoreReply.Found(List.of(entry(first)), 1), 0);
        configurations.peers(view("suva-2"), 0);
        Document other = Files.document(1, "x");
        ConfigurationPush push = DocumentDelta.change(other, other.next(Files.retiring("x", "y"), "c2"));
        List<ConfigurationStep> steps = configurations.receive("suva-2", push, 10);
        assertInstanceOf(ConfigurationPull.class, ((ConfigurationStep.Send) steps.get(0)).message());
        assertEquals(1, configurations.current().generation());
    }

    @Test
    void shouldBoundStoreCallsWhenAllHostsStartOrReturnAtOnce() {
        // Symptom: the store refuses calls for their rate when it comes back, and goes down again. Sequence: 360 hosts
        // wait for it and all call at once. Cause: every host reads, or those that do retry without jitter.
        store.write(Configurations.KEY, Files.document(1, "a").toText());
        Map<String, Configurations> hosts = new TreeMap<>();
        for (int host = 0; host < HOSTS; host++) {
            hosts.put("host-" + host, of("host-" + host));
        }
        int started = highestCallsInASecond(hosts, 0, 5_000, false);
        int whileOut = highestCallsInASecond(hosts, 5_000, 125_000, true);
        int returned = highestCallsInASecond(hosts, 125_000, 185_000, false);
        assertTrue(started <= HOSTS + CENTRES, "at a cold start " + started);
        assertTrue(whileOut <= 2 * CENTRES + 60, "while the store is out " + whileOut);
        assertTrue(returned <= 2 * CENTRES, "after an outage " + returned);
    }

    private int highestCallsInASecond(Map<String, Configurations> hosts, long from, long to, boolean down) {
        Map<Long, Integer> calls = new TreeMap<>();
        for (long now = from; now < to; now += TICK_MILLIS) {
            long time = now;
            hosts.forEach((name, host) -> {
                host.peers(centreOf(Integer.parseInt(name.substring(5)), hosts, time), time);
                for (ConfigurationStep step : host.tick(time)) {
                    if (step instanceof ConfigurationStep.CallStore call) {
                        calls.merge(time / 1_000, 1, Integer::sum);
                        answer(host, call, time, down);
                    }
                }
            });
        }
        return calls.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private void answer(Configurations host, ConfigurationStep.CallStore call, long now, boolean down) {
        if (!(call.command() instanceof StoreCommand.Watch)) {
            FakeStore.Fault fault = down ? FakeStore.Fault.DOWN : FakeStore.Fault.NONE;
            host.storeReplied(call.callId(), store.call(call.command(), fault, now), now);
        } else if (down) {
            host.watchBroken(now);
        }
    }

    private static PeerView centreOf(int host, Map<String, Configurations> hosts, long now) {
        List<LocalPeer> peers = new ArrayList<>();
        for (int other = host % CENTRES; other < HOSTS; other += CENTRES) {
            if (other != host) {
                String name = "host-" + other;
                peers.add(new LocalPeer(name, hosts.get(name).isStoreReachable(now)));
            }
        }
        return new PeerView(Set.of(), peers, List.of());
    }

    private static PeerView view(String... peers) {
        return new PeerView(
                Set.of(peers),
                List.of(peers).stream().map(peer -> new LocalPeer(peer, false)).toList(),
                List.of());
    }

    private static org.rattanplank.core.store.StoreEntry entry(Document document) {
        return new org.rattanplank.core.store.StoreEntry(Configurations.KEY, document.toText(), document.generation());
    }

    private static Configurations of(String host) {
        return Configurations.of(new NodeIdentity(host, 1, Place.of("suva", "suva-hall")));
    }
}
