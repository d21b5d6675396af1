package org.rattanplank.gateway.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.StoreWatchers;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreCopy;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StoreRevision;

/**
 * Simulates a region in virtual time: hosts that replicate a store to each other, each over one link of limited bandwidth.
 *
 * <p>Store watchers read the store without delay; state reports of hosts are visible late. Confined to one thread.
 */
final class TestRegion {
    private static final long STEP_MILLIS = 50;
    private static final long STATE_MILLIS = 350;
    private static final long WATCHER_SELECTION_MILLIS = 250;
    private static final long UNRESPONSIVE_MILLIS = 1_600;
    private static final long CATCH_UP_AFTER_MILLIS = 1_000;
    private static final long CATCH_UP_TURN_MILLIS = 600;

    private final List<Host> hosts = new ArrayList<>();
    private final NavigableMap<Long, StoreItem> history = new TreeMap<>();
    private final Map<String, StoreItem> store = new HashMap<>();
    private final Random random;
    private long revision = 1;
    private long compactedRevision;
    private long nowMillis;

    TestRegion(long seed) {
        random = new Random(seed);
    }

    void addHost(long linkBytesPerMilli) {
        Host host = new Host("host-" + hosts.size(), linkBytesPerMilli);
        hosts.add(host);
        host.readStore();
    }

    List<Host> hosts() {
        return hosts;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Writes an item whose bytes can't be compressed. */
    void put(String key, int bytes) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        write(new StoreItem(key, value, ++revision, false));
    }

    void remove(String key) {
        write(new StoreItem(key, new byte[0], ++revision, true));
    }

    private void write(StoreItem item) {
        store.put(item.key(), item);
        history.put(item.revision(), item);
    }

    /** Lets the store come back from a copy that lacks its last changes, in the next era. */
    void restoreStore(int lostChanges) {
        long era = StoreRevision.era(revision) + 1;
        revision = StoreRevision.of(era, StoreRevision.number(revision) - lostChanges);
        List<StoreItem> kept = history.values().stream()
                .filter(item -> StoreRevision.number(item.revision()) <= StoreRevision.number(revision))
                .map(item -> new StoreItem(
                        item.key(),
                        item.value(),
                        StoreRevision.of(era, StoreRevision.number(item.revision())),
                        item.removed()))
                .toList();
        store.clear();
        history.clear();
        kept.forEach(this::write);
        compactStore();
    }

    /** Makes the store forget its history, so that all watchers list it anew. */
    void compactStore() {
        compactedRevision = revision;
    }

    /** Returns the keys of the store's present items. */
    Set<String> presentKeys() {
        Set<String> keys = new HashSet<>();
        store.values().stream().filter(item -> !item.removed()).forEach(item -> keys.add(item.key()));
        return keys;
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            hosts.forEach(Host::step);
        }
    }

    /** Returns whether the local copies of all live hosts match the store. */
    boolean isConverged() {
        return hosts.stream()
                .filter(host -> host.alive && !(host.earlierVersion && StoreRevision.era(revision) > 0))
                .allMatch(
                        host -> host.copy.revision() >= revision && host.keys().equals(presentKeys()));
    }

    final class Host implements ReplicationPolicy {
        private final String name;
        private final long linkBytesPerMilli;
        private StoreCopy copy = new StoreCopy();
        private StoreReplicator replicator;
        private final Map<Host, SimulatedLink> links = new HashMap<>();
        private final List<long[]> sent = new ArrayList<>();
        private StoreWatchers watchers = StoreWatchers.of(List.of());
        private PeerFrame.State lastState = PeerFrame.State.NONE;
        private boolean alive = true;
        private boolean rejectedByStore;
        private boolean earlierVersion;
        private long listsAtMillis;
        private long terminatedAtMillis;
        private double linkFreeAtMillis;

        private Host(String name, long linkBytesPerMilli) {
            this.name = name;
            this.linkBytesPerMilli = linkBytesPerMilli;
            replicator = replicator();
        }

        private StoreReplicator replicator() {
            return new StoreReplicator(copy, linkBytesPerMilli, now -> 0, line -> {});
        }

        String name() {
            return name;
        }

        long linkBytesPerMilli() {
            return linkBytesPerMilli;
        }

        /** Returns the number of bytes of each sent frame, each with its time. */
        List<long[]> sent() {
            return sent;
        }

        boolean isWatcher() {
            return alive && watchers.isWatcher(name);
        }

        boolean hasItem(String key) {
            return copy.items().stream().anyMatch(item -> item.key().equals(key));
        }

        /** Returns the keys of the items that the host takes for present. */
        Set<String> keys() {
            Set<String> keys = new HashSet<>();
            copy.items().forEach(item -> keys.add(item.key()));
            return keys;
        }

        long copyRevision() {
            return copy.revision();
        }

        boolean isAlive() {
            return alive;
        }

        boolean isRejectedByStore() {
            return rejectedByStore;
        }

        void terminate() {
            alive = false;
            terminatedAtMillis = nowMillis;
        }

        /** Starts the host again, which knows nothing until it has listed the store or is sent its items. */
        void restart(long listDelayMillis) {
            alive = true;
            listsAtMillis = nowMillis + listDelayMillis;
            copy = new StoreCopy();
            replicator = replicator();
            lastState = PeerFrame.State.NONE;
            links.clear();
            for (Host host : hosts) {
                SimulatedLink link = host.links.remove(this);
                if (link != null) {
                    host.replicator.disconnected(link);
                }
            }
        }

        /** Makes the host one of an earlier version, which ignores the keys of all items. */
        void setEarlierVersion() {
            earlierVersion = true;
        }

        void setRejectedByStore(boolean newRejectedByStore) {
            rejectedByStore = newRejectedByStore;
        }

        private void step() {
            if (!alive) {
                return;
            }
            links.values().forEach(SimulatedLink::deliver);
            if (nowMillis % WATCHER_SELECTION_MILLIS == 0) {
                watchers = chooseWatchers();
            }
            boolean mustList = copy.revision() == 0 && !rejectedByStore && nowMillis >= listsAtMillis;
            if (mustList || isHealthyWatcher()) {
                readStore();
            }
            if (nowMillis % STATE_MILLIS == 0) {
                lastState = new PeerFrame.State(
                        nowMillis + 1,
                        0,
                        0,
                        STATE_MILLIS,
                        true,
                        1,
                        0,
                        isWatcher(),
                        !rejectedByStore,
                        List.of(),
                        List.of(),
                        copy.newestRevision(),
                        1,
                        copy.revision(),
                        linkBytesPerMilli,
                        false,
                        false,
                        false,
                        !earlierVersion,
                        !earlierVersion,
                        List.of(),
                        List.of());
            }
            List<SimulatedLink> receivers = new ArrayList<>();
            for (Host host : hosts) {
                if (host != this && host.alive) {
                    receivers.add(links.computeIfAbsent(host, each -> new SimulatedLink(this, each)));
                }
            }
            replicator.tick(receivers, this, nowMillis);
        }

        private StoreWatchers chooseWatchers() {
            List<StoreWatchers.Candidate> candidates = new ArrayList<>();
            for (Host host : hosts) {
                if (host.alive || nowMillis - host.terminatedAtMillis < UNRESPONSIVE_MILLIS) {
                    candidates.add(
                            new StoreWatchers.Candidate(host.name, !host.rejectedByStore, host.linkBytesPerMilli));
                }
            }
            return StoreWatchers.of(candidates);
        }

        private boolean isHealthyWatcher() {
            return isWatcher() && !rejectedByStore;
        }

        private void readStore() {
            if (nowMillis < listsAtMillis) {
                return;
            }
            if (copy.revision() == 0 || copy.revision() < compactedRevision) {
                listStore();
                return;
            }
            history.tailMap(copy.revision(), false).values().forEach(item -> copy.apply(asKnown(item)));
            copy.completeUpTo(asKnown(revision));
        }

        /** Lists the store as {@link org.rattanplank.gateway.store.StoreFeed} does, which shows no removals. */
        private void listStore() {
            store.values().stream()
                    .filter(item -> !item.removed())
                    .forEach(item -> copy.applyListed(asKnown(item), asKnown(revision)));
            copy.completeListing(presentKeys(), asKnown(revision), asKnown(revision));
        }

        /** A host of an earlier version knows the store's own numbers only. */
        private long asKnown(long storeRevision) {
            return earlierVersion ? StoreRevision.number(storeRevision) : storeRevision;
        }

        private StoreItem asKnown(StoreItem item) {
            return new StoreItem(item.key(), item.value(), asKnown(item.revision()), item.removed());
        }

        @Override
        public boolean relaysTo(StoreReceiver receiver) {
            return isHealthyWatcher()
                    && needsRelay(receiver)
                    && watchers.relayFor(receiver.name()).contains(name);
        }

        @Override
        public long catchUpAfterMillis(StoreReceiver receiver) {
            return isHealthyWatcher() && needsRelay(receiver)
                    ? CATCH_UP_AFTER_MILLIS + CATCH_UP_TURN_MILLIS * watchers.position(name)
                    : NEVER;
        }

        private boolean needsRelay(StoreReceiver receiver) {
            return !receiver.state().watchesStore() || !receiver.state().storeHealthy();
        }
    }

    /** The link from one host to another; all links of a host share its bandwidth. */
    private final class SimulatedLink implements StoreReceiver {
        private final Host from;
        private final Host to;
        private final Deque<InFlightFrame> inFlight = new ArrayDeque<>();
        private final List<byte[]> fragments = new ArrayList<>();

        private SimulatedLink(Host from, Host to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public String name() {
            return to.name;
        }

        @Override
        public boolean isInOwnRegion() {
            return true;
        }

        @Override
        public PeerFrame.State state() {
            return to.lastState;
        }

        @Override
        public long pendingBytes() {
            return inFlight.stream().mapToLong(each -> each.bytes().length).sum();
        }

        @Override
        public void send(PeerFrame frame, byte[] bytes) {
            from.sent.add(new long[] {nowMillis, bytes.length});
            from.linkFreeAtMillis =
                    Math.max(from.linkFreeAtMillis, nowMillis) + bytes.length / (double) from.linkBytesPerMilli;
            inFlight.add(new InFlightFrame(bytes, from.linkFreeAtMillis));
        }

        private void deliver() {
            while (!inFlight.isEmpty() && inFlight.peek().atMillis() <= nowMillis) {
                receive(PeerFrameCodec.decode(inFlight.poll().bytes()).get());
            }
        }

        private void receive(PeerFrame frame) {
            if (frame instanceof PeerFrame.StoreItems items) {
                to.copy.merge(to.earlierVersion ? withoutKeyList(items.contents()) : items.contents());
            } else if (frame instanceof PeerFrame.Fragment fragment) {
                fragments.add(fragment.bytes());
                if (fragment.last()) {
                    receive(PeerFrameCodec.decode(joinFragments()).get());
                }
            }
        }

        /** Returns the contents as a host of an earlier version reads them, which ignores the keys beside changes. */
        private static StoreContents withoutKeyList(StoreContents contents) {
            return contents.baseRevision() == 0
                    ? contents
                    : new StoreContents(
                            contents.baseRevision(),
                            contents.revision(),
                            contents.revision(),
                            contents.items(),
                            Option.none());
        }

        private byte[] joinFragments() {
            int length =
                    fragments.stream().mapToInt(fragment -> fragment.length).sum();
            byte[] frame = new byte[length];
            int offset = 0;
            for (byte[] fragment : fragments) {
                System.arraycopy(fragment, 0, frame, offset, fragment.length);
                offset += fragment.length;
            }
            fragments.clear();
            return frame;
        }
    }

    private record InFlightFrame(byte[] bytes, double atMillis) {}
}
