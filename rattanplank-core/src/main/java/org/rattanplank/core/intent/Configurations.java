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
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.core.member.LocalPeer;
import org.rattanplank.core.member.PeerView;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ConfigurationPull;
import org.rattanplank.schema.message.ConfigurationPush;
import org.rattanplank.schema.message.ControlMessage;

/**
 * Learns each new generation of the configuration, from the store, a watch or another host, and passes it on.
 *
 * <p>Invariants: the generation in force never falls; of two documents with the same generation the one learned first
 * stays in force, and the other is counted. A host that has just started puts its first generation into force only when
 * the store and one peer were heard or had time to answer, and never one that is older than what a peer told of. Thread
 * safe; one lock guards all state, and no other lock is taken while it is held.
 */
public final class Configurations {
    /** The store's key of the newest generation. */
    public static final String KEY = "rattanplank/configuration";

    private static final long START_GRACE_MILLIS = 2_000;
    private static final long PULL_TIMEOUT_MILLIS = 1_500;
    private static final long REMOTE_PATIENCE_MILLIS = 300;
    private static final int KEPT_DOCUMENTS = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final NodeIdentity self;
    private final SplittableRandom random;
    private final StoreReader reader;
    private final Deque<Document> kept = new ArrayDeque<>();
    private final Map<String, Long> heardGenerations = new TreeMap<>();
    private Configuration current = Configuration.empty();
    private Option<Document> waiting = Option.none();
    private PeerView peers = PeerView.empty();
    private Option<Long> startMillis = Option.none();
    private boolean peerHeard;
    private long highestHeard;
    private long behindSinceMillis;
    private Option<Long> pulledMillis = Option.none();
    private int pulls;
    private int disagreements;

    private Configurations(NodeIdentity self) {
        this.self = self;
        random = new SplittableRandom(Rendezvous.hash(self.host()) ^ self.incarnation());
        reader = new StoreReader(self.host(), random);
    }

    /**
     * Makes the configuration of a host that has learned none.
     *
     * @param self the host
     * @return the configuration's keeper
     */
    public static Configurations of(NodeIdentity self) {
        return new Configurations(self);
    }

    /**
     * The configuration in force.
     *
     * @return the newest that was learned
     */
    public Configuration current() {
        return locked(() -> current);
    }

    /**
     * Tells whether this host read the store lately.
     *
     * @param nowMillis the time
     * @return whether a read succeeded within some seconds
     */
    public boolean isStoreReachable(long nowMillis) {
        return locked(() -> reader.isReachable(nowMillis));
    }

    /**
     * Counts documents that were passed over because another one with the same generation is in force.
     *
     * @return the count, which stays zero unless the store lost or forked its history
     */
    public int disagreements() {
        return locked(() -> disagreements);
    }

    /**
     * Counts watches that were found silent while the store had news.
     *
     * @return the count
     */
    public int silentWatches() {
        return locked(reader::silentWatches);
    }

    /**
     * Takes note of the hosts that this one can learn from.
     *
     * @param view the hosts
     * @param nowMillis the time
     */
    public void peers(PeerView view, long nowMillis) {
        locked(() -> {
            start(nowMillis);
            peers = view;
            return List.of();
        });
    }

    /**
     * Takes the end of a call to the store.
     *
     * @param callId the call
     * @param reply its end
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> storeReplied(long callId, StoreReply reply, long nowMillis) {
        return locked(() -> {
            start(nowMillis);
            List<ConfigurationStep> steps = new ArrayList<>();
            if (reply instanceof StoreReply.Found found) {
                Option<Document> document = found.entry().flatMap(Configurations::parse);
                long generation = document.map(Document::generation).getOrElse(0L);
                reader.found(found.revision(), generation, nowMillis);
                document.forEach(read -> learn(read, nowMillis, steps));
                putWaitingIntoForce(nowMillis, steps);
            } else if (reply instanceof StoreReply.Unsure || reply instanceof StoreReply.Unavailable) {
                reader.failed(callId, nowMillis);
            }
            return steps;
        });
    }

    /**
     * Takes changes of watched keys.
     *
     * @param entries the entries that were written
     * @param revision the store's revision after them
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> storeChanged(List<StoreEntry> entries, long revision, long nowMillis) {
        return locked(() -> {
            start(nowMillis);
            List<ConfigurationStep> steps = new ArrayList<>();
            for (StoreEntry entry : entries) {
                if (entry.key().equals(KEY)) {
                    parse(entry).forEach(document -> {
                        reader.changed(revision, document.generation());
                        learn(document, nowMillis, steps);
                    });
                }
            }
            return steps;
        });
    }

    /**
     * Takes note that a watch broke.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> watchBroken(long nowMillis) {
        return locked(() -> {
            reader.watchBroken(nowMillis);
            return List.of();
        });
    }

    /**
     * Takes a message of another host.
     *
     * @param host the other host
     * @param message the message
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> receive(String host, ControlMessage message, long nowMillis) {
        return locked(() -> {
            start(nowMillis);
            List<ConfigurationStep> steps = new ArrayList<>();
            if (message instanceof ConfigurationPull pull) {
                answer(host, pull).forEach(push -> steps.add(new ConfigurationStep.Send(host, push)));
            } else if (message instanceof ConfigurationPush push) {
                pushed(host, push, nowMillis, steps);
            }
            return steps;
        });
    }

    /**
     * Takes note of the generation in force at another host.
     *
     * @param host the other host
     * @param generation its generation
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> heard(String host, long generation, long nowMillis) {
        return locked(() -> {
            start(nowMillis);
            List<ConfigurationStep> steps = new ArrayList<>();
            heardGenerations.merge(host, generation, Math::max);
            peerHeard = true;
            if (generation > highestHeard) {
                highestHeard = generation;
                behindSinceMillis = nowMillis;
            }
            pull(nowMillis, steps);
            putWaitingIntoForce(nowMillis, steps);
            return steps;
        });
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> tick(long nowMillis) {
        return locked(() -> {
            start(nowMillis);
            List<ConfigurationStep> steps = new ArrayList<>();
            heardGenerations.keySet().removeIf(host -> !isKnown(host));
            for (StoreCommand command : reader.tick(KEY, peers, nowMillis)) {
                steps.add(new ConfigurationStep.CallStore(reader.callId(command), command));
            }
            putWaitingIntoForce(nowMillis, steps);
            pull(nowMillis, steps);
            return steps;
        });
    }

    private void start(long nowMillis) {
        startMillis = startMillis.orElse(Option.some(nowMillis));
    }

    private static Option<Document> parse(StoreEntry entry) {
        return Document.parse(entry.value()).toOption();
    }

    private void learn(Document document, long nowMillis, List<ConfigurationStep> steps) {
        if (document.generation() == current.generation() && !document.digest().equals(current.digest())) {
            disagreements++;
        }
        if (document.generation() <= newestLearned()) {
            return;
        }
        if (current.generation() > 0) {
            putIntoForce(document, steps);
            return;
        }
        waiting = Option.some(document);
        putWaitingIntoForce(nowMillis, steps);
    }

    private long newestLearned() {
        return Math.max(current.generation(), waiting.map(Document::generation).getOrElse(0L));
    }

    private void putWaitingIntoForce(long nowMillis, List<ConfigurationStep> steps) {
        // A host that restarts knows nothing. One old answer, from a lagging store or from a peer that is behind, would
        // bring back a generation that had been replaced; one would notice a retired host that gets work again.
        boolean late = startMillis.exists(start -> nowMillis - start >= START_GRACE_MILLIS);
        boolean peersAsked = peers.listed().isEmpty() || peerHeard;
        boolean asked = late || (peersAsked && reader.isAnswered());
        if (asked && waiting.exists(document -> document.generation() >= highestHeard)) {
            Document document = waiting.get();
            waiting = Option.none();
            putIntoForce(document, steps);
        }
    }

    private void putIntoForce(Document document, List<ConfigurationStep> steps) {
        Option<Configuration> read = Documents.read(document).toOption();
        if (read.isEmpty()) {
            return;
        }
        current = read.get();
        pulledMillis = Option.none();
        kept.addFirst(document);
        while (kept.size() > KEPT_DOCUMENTS) {
            kept.removeLast();
        }
        steps.add(new ConfigurationStep.InForce(current));
        passOn(document, steps);
    }

    private void passOn(Document document, List<ConfigurationStep> steps) {
        Map<Long, ConfigurationPush> changes = new TreeMap<>();
        for (LocalPeer peer : peers.live()) {
            long there = heardGenerations.getOrDefault(peer.host(), 0L);
            if (there >= document.generation()) {
                continue;
            }
            // Without the base at hand nothing is sent: the peer asks when it hears the new generation in a heartbeat.
            keptDocument(there).forEach(base -> {
                ConfigurationPush push =
                        changes.computeIfAbsent(there, generation -> DocumentDelta.change(base, document));
                steps.add(new ConfigurationStep.Send(peer.host(), push));
            });
        }
    }

    private void pushed(String host, ConfigurationPush push, long nowMillis, List<ConfigurationStep> steps) {
        heardGenerations.merge(host, push.generation(), Math::max);
        if (push.generation() <= newestLearned()) {
            return;
        }
        Document base = kept.isEmpty() ? Document.empty() : kept.getFirst();
        Option<Document> document = DocumentDelta.read(push, base);
        if (document.isDefined()) {
            learn(document.get(), nowMillis, steps);
        } else {
            highestHeard = Math.max(highestHeard, push.generation());
            pull(nowMillis, steps);
        }
    }

    private Option<ConfigurationPush> answer(String host, ConfigurationPull pull) {
        heardGenerations.merge(host, pull.have(), Math::max);
        if (kept.isEmpty() || kept.getFirst().generation() <= pull.have()) {
            return Option.none();
        }
        Document newest = kept.getFirst();
        return keptDocument(pull.have())
                .filter(base -> base.digest().equals(pull.haveDigest()))
                .map(base -> DocumentDelta.change(base, newest))
                .orElse(() -> Option.some(DocumentDelta.whole(newest)));
    }

    private Option<Document> keptDocument(long generation) {
        return Option.ofOptional(kept.stream()
                .filter(document -> document.generation() == generation)
                .findFirst());
    }

    private void pull(long nowMillis, List<ConfigurationStep> steps) {
        boolean waitingForAnswer = pulledMillis.exists(sent -> nowMillis - sent < PULL_TIMEOUT_MILLIS);
        if (highestHeard <= newestLearned() || waitingForAnswer) {
            return;
        }
        List<String> sources = sources(nowMillis);
        if (sources.isEmpty()) {
            return;
        }
        String source = sources.get(pulls++ % sources.size());
        pulledMillis = Option.some(nowMillis);
        steps.add(new ConfigurationStep.Send(
                source, new ConfigurationPull(highestHeard, current.generation(), current.digest())));
    }

    /** Finds who may be asked: hosts of the own data centre at once, others when the own store had time to answer. */
    private List<String> sources(long nowMillis) {
        List<String> local = ahead(peers.live().stream().map(LocalPeer::host).toList());
        if (!local.isEmpty() || nowMillis - behindSinceMillis < REMOTE_PATIENCE_MILLIS) {
            return Rendezvous.rank(local, self.host());
        }
        return Rendezvous.rank(ahead(peers.remote()), self.host());
    }

    private List<String> ahead(List<String> hosts) {
        return hosts.stream()
                .filter(host -> heardGenerations.getOrDefault(host, 0L) > newestLearned())
                .toList();
    }

    private boolean isKnown(String host) {
        return peers.remote().contains(host)
                || peers.listed().contains(host)
                || peers.live().stream().anyMatch(peer -> peer.host().equals(host));
    }

    private <T> T locked(Supplier<T> work) {
        lock.lock();
        try {
            return work.get();
        } finally {
            lock.unlock();
        }
    }
}
