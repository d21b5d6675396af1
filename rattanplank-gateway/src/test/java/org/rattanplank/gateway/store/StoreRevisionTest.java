package org.rattanplank.gateway.store;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreRevisionTest {
    @Test
    void shouldOrderByEraWhenNumbersGoBack() {
        assertTrue(StoreRevision.of(2, 40) > StoreRevision.of(1, 44));
        assertTrue(StoreRevision.of(StoreRevision.MAX_ERA, 1) > StoreRevision.of(0, 1L << 44));
    }

    @Test
    void shouldReturnTheStoresNumberWhenItReportsNoEra() {
        assertEquals(44, StoreRevision.of(0, 44));
        assertEquals(-1, StoreRevision.of(3, -1));
        assertEquals(0, StoreRevision.of(3, 0));
    }

    @Test
    void shouldReturnEraAndNumberWhenBothAreSet() {
        long revision = StoreRevision.of(StoreRevision.MAX_ERA, 44);

        assertEquals(StoreRevision.MAX_ERA, StoreRevision.era(revision));
        assertEquals(44, StoreRevision.number(revision));
    }

    @Test
    void shouldThrowWhenTheEraIsOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> StoreRevision.of(StoreRevision.MAX_ERA + 1, 1));
        assertThrows(IllegalArgumentException.class, () -> StoreRevision.of(-1, 1));
    }
}
