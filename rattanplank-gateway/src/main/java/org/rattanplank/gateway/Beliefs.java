package org.rattanplank.gateway;

import java.util.HashSet;
import java.util.Set;

import org.rattanplank.core.gateway.EntryChange;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.intent.Configurations;
import org.rattanplank.core.intent.Document;
import org.rattanplank.core.intent.Documents;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;
import org.rattanplank.gateway.pass.GatewayState;
import org.rattanplank.gateway.peer.PeerLinks;
import org.rattanplank.gateway.store.ClusterFact;
import org.rattanplank.gateway.store.FeedListener;
import org.rattanplank.gateway.store.FeedReading;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreItem;

/** Turns what the store says into what this host believes, with a log line for each change. Confined to the event loop. */
final class Beliefs implements FeedListener {
    /** Keys and reasons told once are remembered, some 100 KB of them at most. */
    private static final int MOST_UNREADABLE_TOLD = 1_000;

    /** An answer of so many bytes has a line of its own: it takes 50 ms of a link of 10 Mbit/s. */
    private static final long LARGE_BYTES = 64 << 10;

    private final GatewayState state;
    private final PeerLinks links;
    private final Runnable ownKeyLost;
    private final Set<String> unreadableTold = new HashSet<>();

    Beliefs(GatewayState state, PeerLinks links, Runnable ownKeyLost) {
        this.state = state;
        this.links = links;
        this.ownKeyLost = ownKeyLost;
    }

    @Override
    public void learnt(StoreItem item, ClusterFact fact) {
        if (fact instanceof ClusterFact.Configured configured) {
            configured(configured.configuration());
        } else if (fact instanceof ClusterFact.IntentsApplied applied) {
            intentsApplied(applied.document());
        } else if (fact instanceof ClusterFact.TargetEntered entered) {
            entered(entered.entry());
        } else if (fact instanceof ClusterFact.TargetRemoved removed) {
            state.pool().removed(removed.id(), state.nowMillis());
            gone(removed.id(), "no entry");
        } else if (fact instanceof ClusterFact.Evacuation evacuation) {
            state.pool().evacuate(evacuation.dataCentre(), evacuation.active(), state.nowMillis());
            state.log()
                    .important(LogLine.of(LogEvent.EVACUATION)
                            .with("dataCentre", evacuation.dataCentre())
                            .with("active", evacuation.active())
                            .with("revision", item.revision()));
        } else if (fact instanceof ClusterFact.HostEntered host) {
            links.entered(host.host());
        } else if (fact instanceof ClusterFact.HostRemoved host) {
            links.removed(host.name());
            if (host.name().equals(state.self().name())) {
                ownKeyLost.run();
            }
        } else if (fact instanceof ClusterFact.Unreadable unreadable) {
            unreadable(item, unreadable);
        }
    }

    @Override
    public void storeAnswered(long tookMillis) {
        state.metrics().took(Latency.STORE_CALL, tookMillis);
    }

    @Override
    public void read(FeedReading reading, long bytes, int items, long tookMillis) {
        if (bytes >= LARGE_BYTES) {
            state.log()
                    .ordinary(LogLine.of(LogEvent.STORE_READ)
                            .with("reading", reading.name())
                            .with("bytes", bytes)
                            .with("items", items)
                            .with("tookMillis", tookMillis));
        }
    }

    @Override
    public void storeReturned() {
        state.pool().storeReturned(state.nowMillis());
        state.log().important(LogLine.of(LogEvent.STORE_RETURNED));
    }

    @Override
    public void storeLost(StoreFailure reason) {
        state.log().important(LogLine.of(LogEvent.STORE_LOST).with("reason", reason.name()));
    }

    void tick(long nowMillis) {
        state.pool().tick(nowMillis).forEach(id -> gone(id, "its entry did not come back"));
    }

    private void configured(GatewayConfiguration configuration) {
        if (state.configure(configuration)) {
            state.log()
                    .important(LogLine.of(LogEvent.CONFIGURED)
                            .with("configurationVersion", configuration.version())
                            .with("homes", configuration.homes().toString()));
        }
    }

    private void intentsApplied(Document document) {
        Documents.read(document)
                .onFailure(error -> state.log()
                        .important(LogLine.of(LogEvent.ITEM_UNREADABLE)
                                .with("key", Configurations.KEY)
                                .with("reason", String.valueOf(error.getMessage()))))
                .filter(state::refine)
                .forEach(intents -> state.log()
                        .important(LogLine.of(LogEvent.CONFIGURED)
                                .with("intentsGeneration", intents.generation())
                                .with("retiring", String.join(",", intents.retiring()))));
    }

    private void entered(TargetEntry entry) {
        EntryChange change = state.pool().entered(entry, state.nowMillis());
        state.retireTargets();
        change.ended().forEach(before -> {
            state.connections().end(before);
            gone(before.runText(), "it has started again");
        });
        change.changed().forEach(target -> state.log()
                .important(LogLine.of(LogEvent.TARGET_CHANGED)
                        .with("target", target.runText())
                        .with("service", entry.service())
                        .with("leaving", entry.leaving())
                        .with("coldMillis", entry.coldMillis())));
    }

    /** An entry that another writer left, or spoilt, is told once a key and reason; it may be written each second. */
    private void unreadable(StoreItem item, ClusterFact.Unreadable unreadable) {
        unreadable.target().forEach(state.pool()::unreadable);
        state.metrics().unreadableItem();
        if (unreadableTold.add(item.key() + ' ' + unreadable.reason())) {
            state.log()
                    .important(LogLine.of(LogEvent.ITEM_UNREADABLE)
                            .with("key", item.key())
                            .with("revision", item.revision())
                            .with("reason", unreadable.reason()));
        }
        if (unreadableTold.size() > MOST_UNREADABLE_TOLD) {
            unreadableTold.clear();
        }
    }

    private void gone(String id, String reason) {
        state.log()
                .important(LogLine.of(LogEvent.TARGET_GONE).with("target", id).with("reason", reason));
    }
}
