package org.rattanplank.core.intent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.core.member.LocalPeer;
import org.rattanplank.core.member.PeerView;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ConfigurationPull;
import org.rattanplank.schema.message.ConfigurationPush;
import org.rattanplank.schema.message.ControlMessage;

/**
 * Receives each new generation of the configuration from the store, a watch or another host, activates it and pushes it
 * to peers.
 *
 * <p>Invariants: the active generation never decreases; of two documents with the same generation, the one received
 * first stays active and the other is counted. A host that has just started activates its first generation only after
 * the store and one peer have answered or the startup grace period has passed, and never a generation older than one
 * that a peer reported. Thread safe; one lock guards all state, and no other lock is taken while it is held.
 */
public final class ConfigurationManager {
    /** Store key of the newest generation. */
    public static final String KEY = "rattanplank/configuration";

    private static final long STARTUP_GRACE_MILLIS = 2_000;
    private static final long PULL_TIMEOUT_MILLIS = 1_500;
    private static final long REMOTE_PULL_DELAY_MILLIS = 300;
    private static final int MAX_RECENT_DOCUMENTS = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final NodeIdentity self;
    private final SplittableRandom random;
    private final StoreReadScheduler readScheduler;
    private final Deque<Document> recentDocuments = new ArrayDeque<>();
    private final Map<String, Long> peerGenerations = new TreeMap<>();
    private Configuration current = Configuration.empty();
    private Option<Document> pending = Option.none();
    private PeerView updatePeers = PeerView.empty();
    private Option<Long> startMillis = Option.none();
    private boolean anyPeerReported;
    private long maxReportedGeneration;
    private long behindSinceMillis;
    private Option<Long> pullSentMillis = Option.none();
    private int pullCount;
    private int digestMismatches;

    private ConfigurationManager(NodeIdentity self) {
        this.self = self;
        random = new SplittableRandom(RendezvousHashing.hash(self.host()) ^ self.incarnation());
        readScheduler = new StoreReadScheduler(self.host(), random);
    }

    /**
     * Creates the manager of a host that has received no configuration.
     *
     * @param self the host
     * @return the configuration manager
     */
    public static ConfigurationManager of(NodeIdentity self) {
        return new ConfigurationManager(self);
    }

    /**
     * Returns the active configuration.
     *
     * @return the newest activated configuration
     */
    public Configuration current() {
        return locked(() -> current);
    }

    /**
     * Returns whether this host recently read the store.
     *
     * @param nowMillis the time
     * @return whether a read succeeded within the last seconds
     */
    public boolean isStoreReachable(long nowMillis) {
        return locked(() -> readScheduler.isReachable(nowMillis));
    }

    /**
     * Returns the number of documents ignored because another one with the same generation is active.
     *
     * @return the count, which stays zero unless the store lost or forked its history
     */
    public int digestMismatches() {
        return locked(() -> digestMismatches);
    }

    /**
     * Returns the number of watches that were detected as unresponsive while the store had newer data.
     *
     * @return the count
     */
    public int unresponsiveWatches() {
        return locked(readScheduler::unresponsiveWatches);
    }

    /**
     * Updates the hosts that this one can receive the configuration from.
     *
     * @param view the hosts
     * @param nowMillis the time
     */
    public void updatePeers(PeerView view, long nowMillis) {
        locked(() -> {
            recordStart(nowMillis);
            updatePeers = view;
            return List.of();
        });
    }

    /**
     * Handles the reply to a store call.
     *
     * @param callId the call
     * @param reply the reply
     * @param nowMillis the time
     * @return the actions to perform
     */
    public List<ConfigurationAction> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return locked(() -> {
            recordStart(nowMillis);
            List<ConfigurationAction> actions = new ArrayList<>();
            if (reply instanceof StoreReply.Found found) {
                Option<Document> document = found.entry().flatMap(ConfigurationManager::parse);
                long generation = document.map(Document::generation).getOrElse(0L);
                readScheduler.readSucceeded(found.revision(), generation, nowMillis);
                document.forEach(received -> documentReceived(received, nowMillis, actions));
                activatePending(nowMillis, actions);
            } else if (reply instanceof StoreReply.Unsure || reply instanceof StoreReply.Unavailable) {
                readScheduler.readFailed(callId, nowMillis);
            }
            return actions;
        });
    }

    /**
     * Handles changes of watched keys.
     *
     * @param entries the written entries
     * @param revision the store revision after the changes
     * @param nowMillis the time
     * @return the actions to perform
     */
    public List<ConfigurationAction> storeChanged(List<StoreEntry> entries, long revision, long nowMillis) {
        return locked(() -> {
            recordStart(nowMillis);
            List<ConfigurationAction> actions = new ArrayList<>();
            for (StoreEntry entry : entries) {
                if (entry.key().equals(KEY)) {
                    parse(entry).forEach(document -> {
                        readScheduler.watchUpdated(revision, document.generation());
                        documentReceived(document, nowMillis, actions);
                    });
                }
            }
            return actions;
        });
    }

    /**
     * Records that a watch failed.
     *
     * @param nowMillis the time
     * @return the actions to perform
     */
    public List<ConfigurationAction> watchFailed(long nowMillis) {
        return locked(() -> {
            readScheduler.watchFailed(nowMillis);
            return List.of();
        });
    }

    /**
     * Handles a message from another host.
     *
     * @param host the other host
     * @param message the message
     * @param nowMillis the time
     * @return the actions to perform
     */
    public List<ConfigurationAction> receive(String host, ControlMessage message, long nowMillis) {
        return locked(() -> {
            recordStart(nowMillis);
            List<ConfigurationAction> actions = new ArrayList<>();
            if (message instanceof ConfigurationPull pull) {
                answerPull(host, pull).forEach(push -> actions.add(new ConfigurationAction.Send(host, push)));
            } else if (message instanceof ConfigurationPush push) {
                pushReceived(host, push, nowMillis, actions);
            }
            return actions;
        });
    }

    /**
     * Records the active generation of another host.
     *
     * @param host the other host
     * @param generation its generation
     * @param nowMillis the time
     * @return the actions to perform
     */
    public List<ConfigurationAction> generationReported(String host, long generation, long nowMillis) {
        return locked(() -> {
            recordStart(nowMillis);
            List<ConfigurationAction> actions = new ArrayList<>();
            peerGenerations.merge(host, generation, Math::max);
            anyPeerReported = true;
            if (generation > maxReportedGeneration) {
                maxReportedGeneration = generation;
                behindSinceMillis = nowMillis;
            }
            pull(nowMillis, actions);
            activatePending(nowMillis, actions);
            return actions;
        });
    }

    /**
     * Advances time and performs what is due.
     *
     * @param nowMillis the time
     * @return the actions to perform
     */
    public List<ConfigurationAction> tick(long nowMillis) {
        return locked(() -> {
            recordStart(nowMillis);
            List<ConfigurationAction> actions = new ArrayList<>();
            peerGenerations.keySet().removeIf(host -> !isKnown(host));
            for (StoreCommand command : readScheduler.tick(KEY, updatePeers, nowMillis)) {
                actions.add(new ConfigurationAction.CallStore(readScheduler.callId(command), command));
            }
            activatePending(nowMillis, actions);
            pull(nowMillis, actions);
            return actions;
        });
    }

    private void recordStart(long nowMillis) {
        startMillis = startMillis.orElse(Option.some(nowMillis));
    }

    private static Option<Document> parse(StoreEntry entry) {
        return Document.parse(entry.value()).toOption();
    }

    private void documentReceived(Document document, long nowMillis, List<ConfigurationAction> actions) {
        if (document.generation() == current.generation() && !document.digest().equals(current.digest())) {
            digestMismatches++;
        }
        if (document.generation() <= newestKnownGeneration()) {
            return;
        }
        if (current.generation() > 0) {
            activate(document, actions);
            return;
        }
        pending = Option.some(document);
        activatePending(nowMillis, actions);
    }

    private long newestKnownGeneration() {
        return Math.max(current.generation(), pending.map(Document::generation).getOrElse(0L));
    }

    private void activatePending(long nowMillis, List<ConfigurationAction> actions) {
        // A restarted host has no state. A single stale answer from a lagging store or peer would activate a generation
        // that was already replaced; symptom: a retired host receives work again.
        boolean graceExpired = startMillis.exists(start -> nowMillis - start >= STARTUP_GRACE_MILLIS);
        boolean peersAnswered = updatePeers.listed().isEmpty() || anyPeerReported;
        boolean answered = graceExpired || (peersAnswered && readScheduler.hasFirstReadEnded());
        if (answered && pending.exists(document -> document.generation() >= maxReportedGeneration)) {
            Document document = pending.get();
            pending = Option.none();
            activate(document, actions);
        }
    }

    private void activate(Document document, List<ConfigurationAction> actions) {
        Option<Configuration> parsed = ConfigurationParser.parse(document).toOption();
        if (parsed.isEmpty()) {
            return;
        }
        current = parsed.get();
        pullSentMillis = Option.none();
        recentDocuments.addFirst(document);
        while (recentDocuments.size() > MAX_RECENT_DOCUMENTS) {
            recentDocuments.removeLast();
        }
        actions.add(new ConfigurationAction.Activated(current));
        pushToPeers(document, actions);
    }

    private void pushToPeers(Document document, List<ConfigurationAction> actions) {
        Map<Long, ConfigurationPush> pushes = new TreeMap<>();
        for (LocalPeer peer : updatePeers.live()) {
            long peerGeneration = peerGenerations.getOrDefault(peer.host(), 0L);
            if (peerGeneration >= document.generation()) {
                continue;
            }
            // Without the base document nothing is sent: the peer pulls when a heartbeat reports the new generation.
            recentDocument(peerGeneration).forEach(base -> {
                ConfigurationPush push =
                        pushes.computeIfAbsent(peerGeneration, generation -> DocumentDelta.deltaPush(base, document));
                actions.add(new ConfigurationAction.Send(peer.host(), push));
            });
        }
    }

    private void pushReceived(String host, ConfigurationPush push, long nowMillis, List<ConfigurationAction> actions) {
        peerGenerations.merge(host, push.generation(), Math::max);
        if (push.generation() <= newestKnownGeneration()) {
            return;
        }
        Document base = recentDocuments.isEmpty() ? Document.empty() : recentDocuments.getFirst();
        Option<Document> document = DocumentDelta.read(push, base);
        if (document.isDefined()) {
            documentReceived(document.get(), nowMillis, actions);
        } else {
            maxReportedGeneration = Math.max(maxReportedGeneration, push.generation());
            pull(nowMillis, actions);
        }
    }

    private Option<ConfigurationPush> answerPull(String host, ConfigurationPull pull) {
        peerGenerations.merge(host, pull.have(), Math::max);
        if (recentDocuments.isEmpty() || recentDocuments.getFirst().generation() <= pull.have()) {
            return Option.none();
        }
        Document newest = recentDocuments.getFirst();
        return recentDocument(pull.have())
                .filter(base -> base.digest().equals(pull.haveDigest()))
                .map(base -> DocumentDelta.deltaPush(base, newest))
                .orElse(() -> Option.some(DocumentDelta.fullPush(newest)));
    }

    private Option<Document> recentDocument(long generation) {
        return Option.ofOptional(recentDocuments.stream()
                .filter(document -> document.generation() == generation)
                .findFirst());
    }

    private void pull(long nowMillis, List<ConfigurationAction> actions) {
        boolean pullPending = pullSentMillis.exists(sent -> nowMillis - sent < PULL_TIMEOUT_MILLIS);
        if (maxReportedGeneration <= newestKnownGeneration() || pullPending) {
            return;
        }
        List<String> sources = pullSources(nowMillis);
        if (sources.isEmpty()) {
            return;
        }
        String source = sources.get(pullCount++ % sources.size());
        pullSentMillis = Option.some(nowMillis);
        actions.add(new ConfigurationAction.Send(
                source, new ConfigurationPull(maxReportedGeneration, current.generation(), current.digest())));
    }

    /**
     * Returns the hosts to pull from: hosts of the local data centre at once, others only after the local store had
     * time to answer.
     */
    private List<String> pullSources(long nowMillis) {
        List<String> local = withNewerGeneration(
                updatePeers.live().stream().map(LocalPeer::host).toList());
        if (!local.isEmpty() || nowMillis - behindSinceMillis < REMOTE_PULL_DELAY_MILLIS) {
            return RendezvousHashing.rank(local, self.host());
        }
        return RendezvousHashing.rank(withNewerGeneration(updatePeers.remote()), self.host());
    }

    private List<String> withNewerGeneration(List<String> hosts) {
        return hosts.stream()
                .filter(host -> peerGenerations.getOrDefault(host, 0L) > newestKnownGeneration())
                .toList();
    }

    private boolean isKnown(String host) {
        return updatePeers.remote().contains(host)
                || updatePeers.listed().contains(host)
                || updatePeers.live().stream().anyMatch(peer -> peer.host().equals(host));
    }

    private <T> T locked(Supplier<T> operation) {
        lock.lock();
        try {
            return operation.get();
        } finally {
            lock.unlock();
        }
    }
}
