package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RouteRuleTest {
    @Test
    void shouldAllowASecondRunWhenSafeOrResumableOnly() {
        assertTrue(RouteKind.SAFE.isIdempotent(false));
        assertTrue(RouteKind.STREAM.isIdempotent(true));
        assertFalse(RouteKind.STREAM.isIdempotent(false));
        assertFalse(RouteKind.UNSAFE.isIdempotent(true));
    }

    @Property
    void shouldNeverPickAServiceWhenItsWeightIsZero(
            @ForAll @DoubleRange(min = 0, max = 1, maxIncluded = false) double draw,
            @ForAll @IntRange(min = 1, max = 100) int weight) {
        RouteRule route = new RouteRule(
                "r",
                "h",
                "/",
                RouteKind.SAFE,
                false,
                List.of(new WeightedService("old", 0), new WeightedService("new", weight)),
                1,
                1_000,
                500,
                0,
                0,
                Set.of(),
                false);

        assertEquals("new", route.pickService(draw));
    }
}
