package org.rattanplank.standins.link;

import io.netty.util.AttributeKey;

/** Marks a relayed connection that swallows all bytes. Stateless and thread safe. */
final class Silence {
    static final AttributeKey<Boolean> KEY = AttributeKey.valueOf("silent");

    private Silence() {}
}
