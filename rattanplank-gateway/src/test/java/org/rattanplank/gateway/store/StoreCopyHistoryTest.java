package org.rattanplank.gateway.store;

import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that copies of the store are right up to the revision that they claim, whatever their hosts tell each other. */
class StoreCopyHistoryTest {
    private static final int STEPS = 120;

    /** Guards against removed items that a copy believes in, and present ones that it lacks, in any order of reads. */
    @Property(tries = 2_000, seed = "7148839201")
    void shouldBeRightUpToItsRevisionWhenCopiesReadTheStoreAndTellEachOther(@ForAll long seed) {
        assertRight(seed);
    }

    /** Guards against the same with the seeds that have shown it. */
    @Test
    void shouldBeRightUpToItsRevisionWhenHistoriesAreAsInTheSeedsThatFailed() {
        for (long seed : new long[] {2_686_080_292_826L, -98_168, 179_650, -9_657_471}) {
            assertRight(seed);
        }
    }

    /** Guards against whole contents without the removals that their sender was told ahead of other changes. */
    @Test
    void shouldForgetARemovedItemWhenTheRelayStartedFromContentsThatLackedIt() {
        StoreItem entry = new StoreItem("target-1", new byte[0], 5, false);
        StoreCopy calm = new StoreCopy();
        calm.merge(StoreContents.all(9, List.of(entry)));
        StoreCopy ahead = new StoreCopy();
        ahead.merge(StoreContents.all(9, List.of(entry)));
        ahead.merge(StoreContents.some(List.of(new StoreItem("target-1", new byte[0], 10, true))));
        StoreCopy relay = new StoreCopy();
        relay.merge(ahead.contents(0, ahead.itemsAndNewerRemovals(), false));
        relay.completeListing(Set.of(), 10, 10);

        calm.merge(relay.contents(9, List.copyOf(relay.changesSince(9)), !relay.knowsRemovalsSince(9, 9)));

        assertEquals(10, calm.revision());
        assertEquals(List.of(), List.copyOf(calm.items()));
    }

    private static void assertRight(long seed) {
        StoreCopyHistory copies = new StoreCopyHistory(seed);
        for (int i = 0; i < STEPS; i++) {
            copies.step();
            int step = i;
            assertEquals(List.of(), copies.faults(), () -> "seed " + seed + " step " + step);
        }
    }
}
