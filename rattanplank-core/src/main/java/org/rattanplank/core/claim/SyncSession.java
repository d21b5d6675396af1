package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The copying of all claims to one host that joins, while the view goes on.
 *
 * <p>Invariant: a key that changes is dirty until a chunk with it was acknowledged, so a clean session means that the
 * other host holds all that this one does. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class SyncSession {
    private static final int CHUNK_CLAIMS = 256;

    private final String id;
    private final ViewMemberId joiner;
    private final Set<ClaimKey> dirty = new LinkedHashSet<>();
    private List<ClaimKey> chunk = List.of();
    private long number = -1;
    private boolean acknowledged = true;
    private long sentMillis;

    SyncSession(String id, ViewMemberId joiner, List<Claim> claims) {
        this.id = id;
        this.joiner = joiner;
        claims.forEach(claim -> dirty.add(claim.key()));
    }

    SyncSession copy() {
        SyncSession copy = new SyncSession(id, joiner, List.of());
        copy.dirty.addAll(dirty);
        copy.chunk = chunk;
        copy.number = number;
        copy.acknowledged = acknowledged;
        copy.sentMillis = sentMillis;
        return copy;
    }

    String id() {
        return id;
    }

    ViewMemberId joiner() {
        return joiner;
    }

    long number() {
        return number;
    }

    List<ClaimKey> chunk() {
        return chunk;
    }

    void changed(ClaimKey key) {
        dirty.add(key);
    }

    boolean hasBegun() {
        return number > 0 || (number == 0 && acknowledged);
    }

    boolean isClean() {
        return number >= 0 && acknowledged && dirty.isEmpty();
    }

    /** Whether a chunk is to be sent, anew or again. */
    boolean isDue(long resendMillis, long nowMillis) {
        return acknowledged ? number < 0 || !dirty.isEmpty() : nowMillis - sentMillis >= resendMillis;
    }

    void send(long nowMillis) {
        sentMillis = nowMillis;
        if (!acknowledged) {
            return;
        }
        acknowledged = false;
        number++;
        List<ClaimKey> next = new ArrayList<>();
        Iterator<ClaimKey> keys = dirty.iterator();
        while (keys.hasNext() && next.size() < CHUNK_CLAIMS) {
            next.add(keys.next());
            keys.remove();
        }
        chunk = List.copyOf(next);
    }

    void acknowledge(String sessionId, long chunkNumber) {
        if (id.equals(sessionId) && number == chunkNumber) {
            acknowledged = true;
            chunk = List.of();
        }
    }

    String describe() {
        return joiner + " " + id + " " + number + " " + acknowledged + " " + dirty;
    }
}
