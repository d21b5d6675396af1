package org.rattanplank.gateway;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.rattanplank.core.gateway.EntryChange;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.intent.ConfigurationManager;
import org.rattanplank.core.intent.ConfigurationParser;
import org.rattanplank.core.intent.Document;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.store.ClusterEvent;
import org.rattanplank.gateway.store.FeedListener;
import org.rattanplank.gateway.store.StoreChange;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StoreReadKind;
import org.rattanplank.gateway.store.StoreRevision;

/** Applies events read from the store to this host's cluster state and logs each change. Confined to the event loop. */
final class ClusterStateUpdater implements FeedListener {
    /** Each key and reason is logged once; they take 100 KB of memory at most. */
    private static final int MAX_REPORTED_UNREADABLE = 1_000;

    /** Targets are remembered as departed for two minutes; more than these don't leave a region in that time. */
    private static final int MAX_REMOVALS = 1_000;

    /** Store responses of at least this size are logged: 64 KiB take 50 ms of a link of 10 Mbit/s. */
    private static final long LARGE_RESPONSE_BYTES = 64 << 10;

    private final GatewayState state;
    private final PeerLinks links;
    private final QuarantineRecorder quarantineRecorder;
    private final Runnable onOwnKeyLost;
    private final Set<String> reportedUnreadable = new HashSet<>();

    /** The revisions of the removals of targets' entries, oldest first. */
    private final Map<String, Long> removalRevisions = new LinkedHashMap<>();

    ClusterStateUpdater(
            GatewayState state, PeerLinks links, QuarantineRecorder quarantineRecorder, Runnable onOwnKeyLost) {
        this.state = state;
        this.links = links;
        this.quarantineRecorder = quarantineRecorder;
        this.onOwnKeyLost = onOwnKeyLost;
    }

    @Override
    public void itemChanged(StoreChange change, ClusterEvent event) {
        if (event instanceof ClusterEvent.ConfigurationChanged configured) {
            applyConfiguration(configured.configuration());
        } else if (event instanceof ClusterEvent.IntentsChanged applied) {
            applyIntents(applied.document());
        } else if (event instanceof ClusterEvent.TargetRegistered registered) {
            applyTargetEntry(registered.entry(), change);
        } else if (event instanceof ClusterEvent.TargetRemoved removed) {
            long graceMillis = state.pool().removalGraceMillis(state.nowMillis());
            state.pool().remove(removed.id(), state.nowMillis());
            recordRemoval(removed.id(), change.item().revision());
            LogLine line = LogLine.of(LogEvent.TARGET_GONE)
                    .with("target", removed.id())
                    .with("reason", "its entry was removed")
                    .with("graceMillis", graceMillis);
            logChange(line, change);
        } else if (event instanceof ClusterEvent.EvacuationChanged evacuation) {
            state.pool().evacuate(evacuation.dataCentre(), evacuation.active(), state.nowMillis());
            LogLine line = LogLine.of(LogEvent.EVACUATION)
                    .with("dataCentre", evacuation.dataCentre())
                    .with("active", evacuation.active());
            logChange(line, change);
        } else if (event instanceof ClusterEvent.HostRegistered host) {
            links.hostRegistered(host.host());
        } else if (event instanceof ClusterEvent.HostRemoved host) {
            links.hostRemoved(host.name());
            if (host.name().equals(state.self().name())) {
                onOwnKeyLost.run();
            }
        } else if (event instanceof ClusterEvent.QuarantineChanged changed) {
            quarantineRecorder.mergeStored(changed.fingerprint(), changed.evidence());
        } else if (event instanceof ClusterEvent.QuarantineRemoved removed) {
            quarantineRecorder.recordRemoved(removed.fingerprint());
        } else if (event instanceof ClusterEvent.Unreadable unreadable) {
            reportUnreadable(change.item(), unreadable);
        }
    }

    @Override
    public void storeResponded(long tookMillis) {
        state.metrics().record(Latency.STORE_CALL, tookMillis);
    }

    @Override
    public void pageReceived(StoreReadKind kind, long bytes, int items, long tookMillis) {
        if (bytes >= LARGE_RESPONSE_BYTES) {
            state.log()
                    .writeOrdinary(LogLine.of(LogEvent.STORE_READ)
                            .with("reading", kind.name())
                            .with("bytes", bytes)
                            .with("items", items)
                            .with("tookMillis", tookMillis));
        }
    }

    @Override
    public void copyDiffers(String peer, long revision) {
        state.metrics().copyDiffers();
        state.log()
                .writeImportant(LogLine.of(LogEvent.STORE_DIFFERS)
                        .with("peer", peer)
                        .with("revision", StoreRevision.number(revision)));
    }

    @Override
    public void watchSilent(long lagMillis, long copyRevision) {
        state.log()
                .writeImportant(LogLine.of(LogEvent.STORE_WATCH_SILENT)
                        .with("lagMillis", lagMillis)
                        .with("copyRevision", StoreRevision.number(copyRevision)));
    }

    @Override
    public void storeRestored(long copyRevision, long revision) {
        state.pool().recordStoreRecovery(state.nowMillis());
        state.log()
                .writeImportant(LogLine.of(LogEvent.STORE_RESTORED)
                        .with("era", StoreRevision.era(revision))
                        .with("revision", StoreRevision.number(revision))
                        .with("copyEra", StoreRevision.era(copyRevision))
                        .with("copyRevision", StoreRevision.number(copyRevision)));
    }

    @Override
    public void storeRecovered() {
        state.pool().recordStoreRecovery(state.nowMillis());
        state.log().writeImportant(LogLine.of(LogEvent.STORE_RETURNED));
    }

    @Override
    public void storeUnavailable(StoreFailure reason) {
        state.log().writeImportant(LogLine.of(LogEvent.STORE_LOST).with("reason", reason.name()));
    }

    void tick(long nowMillis) {
        state.pool()
                .tick(nowMillis)
                .forEach(id -> logTargetRemoved(id, "its entry was not restored in time after the store returned"));
    }

    private void applyConfiguration(GatewayConfiguration configuration) {
        if (state.applyConfiguration(configuration)) {
            state.log()
                    .writeImportant(LogLine.of(LogEvent.CONFIGURED)
                            .with("configurationVersion", configuration.version())
                            .with("homes", configuration.homeRegionsByRoute().toString()));
        }
    }

    private void applyIntents(Document document) {
        ConfigurationParser.parse(document)
                .onFailure(error -> state.log()
                        .writeImportant(LogLine.of(LogEvent.ITEM_UNREADABLE)
                                .with("key", ConfigurationManager.KEY)
                                .with("reason", String.valueOf(error.getMessage()))))
                .filter(state::applyIntents)
                .forEach(intents -> state.log()
                        .writeImportant(LogLine.of(LogEvent.CONFIGURED)
                                .with("intentsGeneration", intents.generation())
                                .with("retiring", String.join(",", intents.retiring()))));
    }

    private void recordRemoval(String id, long revision) {
        removalRevisions.remove(id);
        removalRevisions.put(id, revision);
        if (removalRevisions.size() > MAX_REMOVALS) {
            removalRevisions.remove(removalRevisions.keySet().iterator().next());
        }
    }

    private void applyTargetEntry(TargetEntry entry, StoreChange change) {
        Long removalRevision = removalRevisions.get(entry.id());
        if (removalRevision != null && isWrittenSince(removalRevision, change)) {
            state.pool().readmit(entry.id());
        }
        EntryChange entryChange = state.pool().register(entry, state.nowMillis());
        state.markRetiringTargets();
        entryChange.terminated().forEach(previous -> {
            state.connections().closeAll(previous);
            logTargetRemoved(previous.incarnationText(), "the target has restarted");
        });
        entryChange.changed().forEach(target -> {
            LogLine line = LogLine.of(LogEvent.TARGET_CHANGED)
                    .with("target", target.incarnationText())
                    .with("service", entry.service())
                    .with("leaving", entry.leaving())
                    .with("coldMillis", entry.coldMillis());
            logChange(line, change);
        });
    }

    /**
     * Returns whether an entry is certain to have been written since its removal. What the store had when a later era
     * began may be an old entry, which it has again; what follows the complete copy of that era is new.
     */
    private static boolean isWrittenSince(long removalRevision, StoreChange change) {
        long revision = change.item().revision();
        long previousRevision =
                StoreRevision.isSameEra(revision, removalRevision) ? removalRevision : change.copyRevision();
        return revision > previousRevision && StoreRevision.isSameEra(revision, previousRevision);
    }

    /** Logs a change of what this host believes, with where it was learnt and how far the local copy was before. */
    private void logChange(LogLine line, StoreChange change) {
        state.log()
                .writeImportant(
                        line.with("revision", StoreRevision.number(change.item().revision()))
                                .with("source", change.source())
                                .with("copyRevision", StoreRevision.number(change.copyRevision()))
                                .with("era", StoreRevision.era(change.item().revision())));
    }

    /** Logs an unreadable entry once per key and reason, as it may be rewritten every second. */
    private void reportUnreadable(StoreItem item, ClusterEvent.Unreadable unreadable) {
        unreadable.target().forEach(state.pool()::markUnreadable);
        state.metrics().unreadableItem();
        if (reportedUnreadable.add(item.key() + ' ' + unreadable.reason())) {
            state.log()
                    .writeImportant(LogLine.of(LogEvent.ITEM_UNREADABLE)
                            .with("key", item.key())
                            .with("revision", StoreRevision.number(item.revision()))
                            .with("reason", unreadable.reason()));
        }
        if (reportedUnreadable.size() > MAX_REPORTED_UNREADABLE) {
            reportedUnreadable.clear();
        }
    }

    private void logTargetRemoved(String id, String reason) {
        state.log()
                .writeImportant(
                        LogLine.of(LogEvent.TARGET_GONE).with("target", id).with("reason", reason));
    }
}
