package org.rattanplank.core.member;

import java.util.Objects;

/**
 * Another live entry host of the own data centre. Immutable and thread safe.
 *
 * @param host the host's name
 * @param storeReachable whether it says that it read the platform's store lately
 */
public record LocalPeer(String host, boolean storeReachable) {
    public LocalPeer {
        Objects.requireNonNull(host, "host");
    }
}
