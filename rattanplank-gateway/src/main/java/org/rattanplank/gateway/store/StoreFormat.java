package org.rattanplank.gateway.store;

import java.util.List;

import org.rattanplank.core.gateway.GatewayHost;

/** What the items of the store are named and how their values are written. Stateless and thread safe. */
public interface StoreFormat {
    /**
     * The start of the keys that the platform and its operator write.
     *
     * @return prefixes, each to be listed and followed
     */
    List<String> prefixes();

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
