package org.rattanplank.standins.link;

import io.netty.util.AttributeKey;

/** Channel attributes of a link's connections. Stateless and thread safe. */
final class ConnectionAttributes {
    /** Whether all bytes that are read from the connection are dropped. */
    static final AttributeKey<Boolean> DROPS_BYTES = AttributeKey.valueOf("silent");

    private ConnectionAttributes() {}
}
