package org.rattanplank.gateway.store;

import org.rattanplank.core.gateway.GatewayHost;

/** What the items of the store are named and how their values are written. Stateless and thread safe. */
public interface StoreFormat {
    /**
     * The start of all keys that say something to a host.
     *
     * @return the prefix to be listed and followed
     */
    String prefix();

    /**
     * Reads an item.
     *
     * @param item the item, or its removal
     * @return what it says
     */
    ClusterFact read(StoreItem item);

    /**
     * Where a host enters itself.
     *
     * @param host the host
     * @return the item
     */
    StoreItem write(GatewayHost host);
}
