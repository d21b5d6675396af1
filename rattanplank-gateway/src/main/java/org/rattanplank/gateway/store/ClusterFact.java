package org.rattanplank.gateway.store;

import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.core.gateway.GatewayConfiguration;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.TargetEntry;
import org.rattanplank.core.intent.Document;

/** What an item of the store says. Immutable and thread safe. */
public sealed interface ClusterFact {
    /**
     * The configuration in force.
     *
     * @param configuration the configuration
     */
    record Configured(GatewayConfiguration configuration) implements ClusterFact {
        public Configured {
            Objects.requireNonNull(configuration, "configuration");
        }
    }

    /**
     * The operators' folder of intents.
     *
     * @param document the folder
     */
    record IntentsApplied(Document document) implements ClusterFact {
        public IntentsApplied {
            Objects.requireNonNull(document, "document");
        }
    }

    /**
     * A target's entry.
     *
     * @param entry the entry
     */
    record TargetEntered(TargetEntry entry) implements ClusterFact {
        public TargetEntered {
            Objects.requireNonNull(entry, "entry");
        }
    }

    /**
     * A target without an entry.
     *
     * @param id its identifier
     */
    record TargetRemoved(String id) implements ClusterFact {}

    /**
     * A data centre is to get no work, or may have it again.
     *
     * @param dataCentre the data centre
     * @param active whether it is to get none
     */
    record Evacuation(String dataCentre, boolean active) implements ClusterFact {}

    /**
     * An entry host's entry.
     *
     * @param host the host
     */
    record HostEntered(GatewayHost host) implements ClusterFact {
        public HostEntered {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * An entry host without an entry.
     *
     * @param name its name
     */
    record HostRemoved(String name) implements ClusterFact {}

    /** An item that says nothing to this host. */
    record Unrelated() implements ClusterFact {}

    /**
     * An item that should say something and can't be read. Of a target's entry, the target gets no work until one can be
     * read; of others, what was known before stays.
     *
     * @param target the identifier of the target whose entry it is, or none
     * @param reason why it can't be read
     */
    record Unreadable(Option<String> target, String reason) implements ClusterFact {
        public Unreadable {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
