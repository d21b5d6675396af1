package org.rattanplank.core.host;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: every host that knows the same members ranks them in the same order, without coordination.
 *
 * <p>Invariant: the relative order of two members does not depend on any other member. Stateless and thread safe.
 */
public final class RendezvousHashing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHashing() {}

    /**
     * Returns the members ranked for a key.
     *
     * @param members the members, each once
     * @param key the key that the members are ranked for
     * @return the members, best first
     */
    public static List<String> rank(Collection<String> members, String key) {
        long seed = hash(key);
        return members.stream()
                .map(member -> new Scored(member, score(hash(member), seed)))
                .sorted()
                .map(Scored::member)
                .toList();
    }

    /**
     * Returns the score of a member for a key; the member with the highest one ranks first.
     *
     * @param memberHash the hash of the member
     * @param keyHash the hash of the key
     * @return the score
     */
    public static long score(long memberHash, long keyHash) {
        return mix(memberHash ^ keyHash);
    }

    /**
     * Returns the hash of a text.
     *
     * @param text the text
     * @return a hash that is the same on every host
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Mixes the bits of a number so that each affects all 64 bits.
     *
     * @param value the number
     * @return the mixed number
     */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    private record Scored(String member, long score) implements Comparable<Scored> {
        private static final Comparator<Scored> ORDER =
                Comparator.comparingLong(Scored::score).thenComparing(Scored::member);

        @Override
        public int compareTo(Scored other) {
            return ORDER.compare(this, other);
        }
    }
}
