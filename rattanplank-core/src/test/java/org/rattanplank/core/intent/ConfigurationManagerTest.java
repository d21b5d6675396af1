package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.Location;
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

class ConfigurationManagerTest {
    private static final long TICK_MILLIS = 100;
    private static final int HOST_COUNT = 360;
    private static final int DATA_CENTRE_COUNT = 82;

    private final FakeStore store = new FakeStore();
    private final ConfigurationManager configurationManager = of("suva-1");

    @Test
    void shouldKeepActiveGenerationWhenReadIsOlder() {
        // Guards against treating the latest reply as the newest generation: generation 2 is active, and a lagging
        // member of the store answers the next read with generation 1. A retired host would receive work again for some
        // seconds.
        store.write(ConfigurationManager.KEY, TestIntentFiles.document(1, "a").toText());
        long old = store.revision();
        store.write(
                ConfigurationManager.KEY, TestIntentFiles.document(2, "a", "b").toText());
        configurationManager.storeReplied(1, store.call(new StoreCommand.Get(ConfigurationManager.KEY), 0), 0);
        List<ConfigurationAction> actions =
                configurationManager.storeReplied(2, store.staleGet(ConfigurationManager.KEY, old), 100);
        assertEquals(List.of(), actions);
        assertEquals(2, configurationManager.current().generation());
    }

    @Test
    void shouldActivatePeersNewerGenerationWhenRestartedHostReadsOlderOne() {
        // Guards against activating the first answer: generation 2 was active, the host restarts, and the store answers
        // with generation 1 before any peer has reported. The restarted host would serve with an outdated
        // configuration.
        configurationManager.updatePeers(new PeerView(Set.of("suva-2"), List.of(), List.of()), 0);
        StoreReply old = new StoreReply.Found(List.of(entry(TestIntentFiles.document(1, "a"))), 1);
        assertEquals(List.of(), configurationManager.storeReplied(1, old, 10));
        configurationManager.updatePeers(view("suva-2"), 20);
        List<ConfigurationAction> actions = configurationManager.generationReported("suva-2", 2, 20);
        assertInstanceOf(ConfigurationPull.class, ((ConfigurationAction.Send) actions.get(0)).message());
        assertEquals(0, configurationManager.current().generation());
        configurationManager.receive("suva-2", DocumentDelta.fullPush(TestIntentFiles.document(2, "a", "b")), 30);
        assertEquals(2, configurationManager.current().generation());
    }

    @Test
    void shouldKeepFirstDocumentWhenAnotherHasTheSameGeneration() {
        configurationManager.storeReplied(
                1, new StoreReply.Found(List.of(entry(TestIntentFiles.document(2, "a"))), 1), 0);
        configurationManager.receive("suva-2", DocumentDelta.fullPush(TestIntentFiles.document(2, "b")), 10);
        configurationManager.storeReplied(
                2, new StoreReply.Found(List.of(entry(TestIntentFiles.document(2, "b"))), 2), 20);
        assertEquals(Set.of("a"), configurationManager.current().retiring());
        assertEquals(1, configurationManager.digestMismatches());
    }

    @Test
    void shouldSendOnlyChangedFilesWhenPeerHasThePreviousGeneration() {
        Document first = TestIntentFiles.document(1, "a", "b");
        Document second = first.next(TestIntentFiles.retiring("a", "c"), "c2");
        ConfigurationManager peer = of("suva-2");
        peer.receive("suva-1", DocumentDelta.fullPush(first), 0);
        peer.tick(5_000);
        configurationManager.updatePeers(view("suva-2"), 0);
        configurationManager.generationReported("suva-2", 1, 0);
        configurationManager.storeReplied(1, new StoreReply.Found(List.of(entry(first)), 1), 0);
        List<ConfigurationAction> actions =
                configurationManager.storeReplied(2, new StoreReply.Found(List.of(entry(second)), 2), 10);
        ConfigurationPush push =
                assertInstanceOf(ConfigurationPush.class, ((ConfigurationAction.Send) actions.get(1)).message());
        assertEquals("", push.document());
        assertEquals(Set.of("c"), push.changed().keySet());
        assertEquals(List.of("b"), push.removed());
        peer.receive("suva-1", push, 5_010);
        assertEquals(configurationManager.current(), peer.current());
    }

    @Test
    void shouldPullWhenDeltaHasAnotherBaseDocument() {
        Document first = TestIntentFiles.document(1, "a");
        configurationManager.storeReplied(1, new StoreReply.Found(List.of(entry(first)), 1), 0);
        configurationManager.updatePeers(view("suva-2"), 0);
        Document other = TestIntentFiles.document(1, "x");
        ConfigurationPush push = DocumentDelta.deltaPush(other, other.next(TestIntentFiles.retiring("x", "y"), "c2"));
        List<ConfigurationAction> actions = configurationManager.receive("suva-2", push, 10);
        assertInstanceOf(ConfigurationPull.class, ((ConfigurationAction.Send) actions.get(0)).message());
        assertEquals(1, configurationManager.current().generation());
    }

    @Test
    void shouldBoundStoreCallsWhenAllHostsStartOrStoreReturns() {
        // Guards against overloading a store that has recovered: 360 hosts wait for it and call at once, because every
        // host reads, or because the readers retry without jitter. The store would reject calls because of their rate
        // and fail again.
        store.write(ConfigurationManager.KEY, TestIntentFiles.document(1, "a").toText());
        Map<String, ConfigurationManager> hosts = new TreeMap<>();
        for (int host = 0; host < HOST_COUNT; host++) {
            hosts.put("host-" + host, of("host-" + host));
        }
        int started = maxCallsPerSecond(hosts, 0, 5_000, false);
        int whileDown = maxCallsPerSecond(hosts, 5_000, 125_000, true);
        int returned = maxCallsPerSecond(hosts, 125_000, 185_000, false);
        assertTrue(started <= HOST_COUNT + DATA_CENTRE_COUNT, "at a cold start " + started);
        assertTrue(whileDown <= 2 * DATA_CENTRE_COUNT + 60, "while the store is down " + whileDown);
        assertTrue(returned <= 2 * DATA_CENTRE_COUNT, "after an outage " + returned);
    }

    private int maxCallsPerSecond(
            Map<String, ConfigurationManager> hosts, long fromMillis, long toMillis, boolean down) {
        Map<Long, Integer> calls = new TreeMap<>();
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += TICK_MILLIS) {
            long timeMillis = nowMillis;
            hosts.forEach((name, host) -> {
                host.updatePeers(dataCentreView(Integer.parseInt(name.substring(5)), hosts, timeMillis), timeMillis);
                for (ConfigurationAction action : host.tick(timeMillis)) {
                    if (action instanceof ConfigurationAction.CallStore call) {
                        calls.merge(timeMillis / 1_000, 1, Integer::sum);
                        answer(host, call, timeMillis, down);
                    }
                }
            });
        }
        return calls.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private void answer(ConfigurationManager host, ConfigurationAction.CallStore call, long nowMillis, boolean down) {
        if (!(call.command() instanceof StoreCommand.Watch)) {
            FakeStore.Fault fault = down ? FakeStore.Fault.DOWN : FakeStore.Fault.NONE;
            host.storeReplied(call.callId(), store.call(call.command(), fault, nowMillis), nowMillis);
        } else if (down) {
            host.watchFailed(nowMillis);
        }
    }

    private static PeerView dataCentreView(int host, Map<String, ConfigurationManager> hosts, long nowMillis) {
        List<LocalPeer> peers = new ArrayList<>();
        for (int other = host % DATA_CENTRE_COUNT; other < HOST_COUNT; other += DATA_CENTRE_COUNT) {
            if (other != host) {
                String name = "host-" + other;
                peers.add(new LocalPeer(name, hosts.get(name).isStoreReachable(nowMillis)));
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
        return new org.rattanplank.core.store.StoreEntry(
                ConfigurationManager.KEY, document.toText(), document.generation());
    }

    private static ConfigurationManager of(String host) {
        return ConfigurationManager.of(new NodeIdentity(host, 1, Location.of("suva", "suva-hall")));
    }
}
