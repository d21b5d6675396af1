package org.rattanplank.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Copies all claims to one joining host while the view stays active.
 *
 * <p>Invariant: a changed key is dirty until a chunk that contains it was acknowledged, so a clean session means that
 * the other host holds every claim of this host. Not thread safe; guarded by the lock of {@link Claims}.
 */
final class SyncSession {
    private static final int MAX_CLAIMS_PER_CHUNK = 256;

    private final String id;
    private final ViewMemberId joiner;
    private final Set<ClaimKey> dirtyKeys = new LinkedHashSet<>();
    private List<ClaimKey> chunkKeys = List.of();
    private long chunkNumber = -1;
    private boolean acknowledged = true;
    private long lastSentAtMillis;

    SyncSession(String id, ViewMemberId joiner, List<Claim> claims) {
        this.id = id;
        this.joiner = joiner;
        claims.forEach(claim -> dirtyKeys.add(claim.key()));
    }

    SyncSession copy() {
        SyncSession copy = new SyncSession(id, joiner, List.of());
        copy.dirtyKeys.addAll(dirtyKeys);
        copy.chunkKeys = chunkKeys;
        copy.chunkNumber = chunkNumber;
        copy.acknowledged = acknowledged;
        copy.lastSentAtMillis = lastSentAtMillis;
        return copy;
    }

    String id() {
        return id;
    }

    ViewMemberId joiner() {
        return joiner;
    }

    long chunkNumber() {
        return chunkNumber;
    }

    List<ClaimKey> chunkKeys() {
        return chunkKeys;
    }

    void markDirty(ClaimKey key) {
        dirtyKeys.add(key);
    }

    boolean hasStarted() {
        return chunkNumber > 0 || (chunkNumber == 0 && acknowledged);
    }

    boolean isClean() {
        return chunkNumber >= 0 && acknowledged && dirtyKeys.isEmpty();
    }

    /** Returns whether a chunk is due, either a new one or a repetition. */
    boolean isDue(long resendMillis, long nowMillis) {
        return acknowledged ? chunkNumber < 0 || !dirtyKeys.isEmpty() : nowMillis - lastSentAtMillis >= resendMillis;
    }

    void prepareChunk(long nowMillis) {
        lastSentAtMillis = nowMillis;
        if (!acknowledged) {
            return;
        }
        acknowledged = false;
        chunkNumber++;
        List<ClaimKey> next = new ArrayList<>();
        Iterator<ClaimKey> keys = dirtyKeys.iterator();
        while (keys.hasNext() && next.size() < MAX_CLAIMS_PER_CHUNK) {
            next.add(keys.next());
            keys.remove();
        }
        chunkKeys = List.copyOf(next);
    }

    void acknowledge(String sessionId, long acknowledgedChunkNumber) {
        if (id.equals(sessionId) && chunkNumber == acknowledgedChunkNumber) {
            acknowledged = true;
            chunkKeys = List.of();
        }
    }

    String stateKey() {
        return joiner + " " + id + " " + chunkNumber + " " + acknowledged + " " + dirtyKeys;
    }
}
