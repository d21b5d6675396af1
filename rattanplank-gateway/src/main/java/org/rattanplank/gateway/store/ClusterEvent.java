package org.rattanplank.gateway.store;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.intent.Document;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.Fingerprint;

/** A change to the cluster, decoded from an item of the store. Immutable and thread safe. */
public sealed interface ClusterEvent {
    /**
     * The configuration in force has changed.
     *
     * @param configuration the configuration
     */
    record ConfigurationChanged(GatewayConfiguration configuration) implements ClusterEvent {
        public ConfigurationChanged {
            Objects.requireNonNull(configuration, "configuration");
        }
    }

    /**
     * The operators' intents have changed.
     *
     * @param document the intents
     */
    record IntentsChanged(Document document) implements ClusterEvent {
        public IntentsChanged {
            Objects.requireNonNull(document, "document");
        }
    }

    /**
     * A target has registered or changed its entry.
     *
     * @param entry the entry
     */
    record TargetRegistered(TargetEntry entry) implements ClusterEvent {
        public TargetRegistered {
            Objects.requireNonNull(entry, "entry");
        }
    }

    /**
     * A target's entry was removed.
     *
     * @param id the target's identifier
     */
    record TargetRemoved(String id) implements ClusterEvent {}

    /**
     * The evacuation of a data centre has started or ended.
     *
     * @param dataCentre the data centre
     * @param active whether the data centre is to receive no work
     */
    record EvacuationChanged(String dataCentre, boolean active) implements ClusterEvent {}

    /**
     * An entry host has registered or changed its entry.
     *
     * @param host the host
     */
    record HostRegistered(GatewayHost host) implements ClusterEvent {
        public HostRegistered {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * An entry host's entry was removed.
     *
     * @param name the host's name
     */
    record HostRemoved(String name) implements ClusterEvent {}

    /**
     * The evidence against a request that is or was quarantined has changed.
     *
     * @param fingerprint the request
     * @param evidence the evidence
     */
    record QuarantineChanged(Fingerprint fingerprint, List<CrashEvidence> evidence) implements ClusterEvent {
        public QuarantineChanged {
            Objects.requireNonNull(fingerprint, "fingerprint");
            evidence = List.copyOf(evidence);
        }
    }

    /**
     * The record of a quarantine was removed.
     *
     * @param fingerprint the fingerprint of the quarantined request
     */
    record QuarantineRemoved(Fingerprint fingerprint) implements ClusterEvent {}

    /** An item that does not concern this host. */
    record Unrelated() implements ClusterEvent {}

    /**
     * An item that can't be decoded. If it is a target's entry, the target receives no work until an entry can be decoded;
     * for other items the previous value stays in effect.
     *
     * @param target the identifier of the target whose entry it is, or none
     * @param reason why decoding failed
     */
    record Unreadable(Option<String> target, String reason) implements ClusterEvent {
        public Unreadable {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
