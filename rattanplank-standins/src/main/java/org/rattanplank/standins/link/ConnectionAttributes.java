package org.rattanplank.standins.link;

import io.netty.util.AttributeKey;

/** Marks a relayed connection that swallows all bytes. Stateless and thread safe. */
final class ConnectionAttributes {
    static final AttributeKey<Boolean> DROPS_BYTES = AttributeKey.valueOf("silent");

    private ConnectionAttributes() {}
}
