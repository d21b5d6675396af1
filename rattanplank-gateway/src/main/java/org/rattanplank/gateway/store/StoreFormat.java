package org.rattanplank.gateway.store;

import java.util.List;

import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.Fingerprint;

/** Defines the keys of the store and the encoding of their values. Stateless and thread safe. */
public interface StoreFormat {
    /**
     * Returns the prefix of all keys that concern a host.
     *
     * @return the prefix to be listed and watched
     */
    String prefix();

    /**
     * Decodes an item.
     *
     * @param item the item, or its removal
     * @return the change that it describes
     */
    ClusterEvent read(StoreItem item);

    /**
     * Returns the event of an item that could be decoded but not applied.
     *
     * @param item the item
     * @param reason why it could not be applied
     * @return the event
     */
    ClusterEvent.Unreadable unreadable(StoreItem item, String reason);

    /**
     * Encodes a host's entry.
     *
     * @param host the host
     * @return the item
     */
    StoreItem write(GatewayHost host);

    /**
     * Encodes the evidence against a request that is or was quarantined.
     *
     * @param fingerprint the request
     * @param evidence the evidence
     * @return the item
     */
    StoreItem write(Fingerprint fingerprint, List<CrashEvidence> evidence);
}
