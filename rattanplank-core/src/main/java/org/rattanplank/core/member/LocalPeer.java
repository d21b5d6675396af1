package org.rattanplank.core.member;

import java.util.Objects;

/**
 * Another live entry host of the local data centre. Immutable and thread safe.
 *
 * @param host the host's name
 * @param storeReachable whether it reports that it recently read the platform's store
 */
public record LocalPeer(String host, boolean storeReachable) {
    public LocalPeer {
        Objects.requireNonNull(host, "host");
    }
}
