package org.rattanplank.core.gateway;

import java.util.Map;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RegionChooserTest {
    private static final long OBJECTIVE_MILLIS = 1_000;

    @Test
    void shouldStayWhenTheOwnRegionIsFastEnough() {
        assertEquals(Option.none(), RegionChooser.choose(350, Map.of("x", 10.0), OBJECTIVE_MILLIS));
    }

    @Test
    void shouldForwardWhenAnotherRegionIsClearlyFaster() {
        assertEquals(Option.of("y"), RegionChooser.choose(900, Map.of("x", 800.0, "y", 300.0), OBJECTIVE_MILLIS));
    }

    @Test
    void shouldStayWhenTheGainIsWithinTheError() {
        assertEquals(Option.none(), RegionChooser.choose(900, Map.of("x", 800.0), OBJECTIVE_MILLIS));
    }

    @Test
    void shouldForwardWhenTheOwnRegionCannotServe() {
        assertEquals(
                Option.of("x"), RegionChooser.choose(Double.POSITIVE_INFINITY, Map.of("x", 5_000.0), OBJECTIVE_MILLIS));
    }

    @Test
    void shouldStayWhenNoRegionCanServe() {
        assertEquals(
                Option.none(),
                RegionChooser.choose(
                        Double.POSITIVE_INFINITY, Map.of("x", Double.POSITIVE_INFINITY), OBJECTIVE_MILLIS));
    }
}
