package org.rattanplank.gateway.store;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RemovalHistoryTest {
    /** A host that started with a listing at 100, watched up to 200, and listed the store again at 300. */
    private final RemovalHistory history = RemovalHistory.NONE.withGap(0, 100).withGap(200, 300);

    @Test
    void shouldCoverACopyWhenAllRemovalsSinceWereWatched() {
        assertTrue(history.coversSince(300, 300));
        assertTrue(history.coversSince(150, 150));
        assertTrue(history.coversSince(200, 200));
    }

    /** Guards against a removal before the first listing, or between two, that is taken for none. */
    @Test
    void shouldNotCoverACopyWhenRemovalsSinceMayBeUnknown() {
        assertFalse(history.coversSince(99, 99));
        assertFalse(history.coversSince(201, 201));
        assertFalse(history.coversSince(299, 299));
    }

    /** Guards against an item in the gap that the other copy already has although it isn't complete up to it. */
    @Test
    void shouldNotCoverACopyWhenItsNewestItemIsInTheGap() {
        assertFalse(history.coversSince(150, 250));
    }

    @Test
    void shouldCoverOnlyTheNewestPartWhenThereIsAFurtherGap() {
        RemovalHistory later = history.withGap(400, 500);

        assertFalse(later.coversSince(150, 150));
        assertTrue(later.coversSince(300, 400));
        assertTrue(later.coversSince(500, 500));
    }

    @Test
    void shouldTellSinceWhenRemovalsAreCompleteWhenChangesSinceARevisionAreTold() {
        assertEquals(300, history.completeSince(150));
        assertEquals(350, history.completeSince(350));
    }

    @Test
    void shouldStayTheSameWhenAListingIsNotNewer() {
        assertEquals(history, history.withGap(300, 300));
    }
}
