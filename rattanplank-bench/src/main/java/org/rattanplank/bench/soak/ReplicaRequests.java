package org.rattanplank.bench.soak;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests that reach replicas although each host must know that they want none.
 *
 * <p>A replica can't tell hosts apart, as connections reach it through a link. So what is counted begins when every host under
 * load has had an answer. Thread safe; all state is guarded by this object.
 */
final class ReplicaRequests {
    /** All hosts have sent a request to a replica within this time, and have its answer half a second later. */
    private static final long TOLD_MILLIS = 1_500;

    private final Map<String, Long> unwantedSinceMillis = new HashMap<>();
    private int unwanted;

    /** Records that a replica wants no requests from now on, and tells each host that sends one. */
    synchronized void unwanted(String replica, long nowMillis) {
        unwantedSinceMillis.putIfAbsent(replica, nowMillis);
    }

    /** Records that a replica takes requests again, or is gone. */
    synchronized void wanted(String replica) {
        unwantedSinceMillis.remove(replica);
    }

    synchronized void arrived(String replica, long nowMillis) {
        Long since = unwantedSinceMillis.get(replica);
        if (since != null && nowMillis - since > TOLD_MILLIS) {
            unwanted++;
        }
    }

    /** Returns how many requests reached replicas in spite of what these had said. */
    synchronized int count() {
        return unwanted;
    }
}
