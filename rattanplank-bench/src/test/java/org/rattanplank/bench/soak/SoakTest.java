package org.rattanplank.bench.soak;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A short run of the soak with real processes; longer ones by {@code bin/measure soak}. */
class SoakTest {
    private static final long FAULT_MILLIS = 6_000;
    private static final Path TEMPLATE = Path.of("..", "deploy", "gateway.yaml");

    @Test
    void shouldKeepThePromisesWhenHostsStoreAndReplicasAreHarmed() {
        SoakResult result = Soak.run(1, FAULT_MILLIS, TEMPLATE);

        assertEquals(List.of(), result.broken(), result::summary);
        assertTrue(result.answered() > 0, result::summary);
    }
}
