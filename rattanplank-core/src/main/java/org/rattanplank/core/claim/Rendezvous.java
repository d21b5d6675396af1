package org.rattanplank.core.claim;

import java.util.List;

/**
 * Assigns keys to members by rendezvous hashing, so that a change of members moves only the keys of the members that
 * changed. Stateless and thread safe.
 *
 * <p>The weight of each member is a 64-bit FNV-1a hash over the characters of account, key and member, finished with
 * the mixer of SplitMix64, since FNV-1a alone leaves the high bits of short inputs poorly mixed.
 */
final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    static ViewMemberId choose(ClaimKey key, List<ViewMemberId> members) {
        ViewMemberId best = members.get(0);
        long bestWeight = Long.MIN_VALUE;
        for (ViewMemberId member : members) {
            long weight = weight(key, member);
            if (weight > bestWeight) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static long weight(ClaimKey key, ViewMemberId member) {
        long hash = hash(FNV_OFFSET, key.account());
        hash = hash(hash, key.key());
        hash = hash(hash, member.host());
        return mix(hash ^ member.incarnation());
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        // A terminator counts as one more character, so that "ab", "c" and "a", "bc" hash differently.
        return (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
