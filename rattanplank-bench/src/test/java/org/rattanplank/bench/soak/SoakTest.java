package org.rattanplank.bench.soak;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs the soak test briefly with real processes. Use {@code bin/measure soak} for longer runs. */
class SoakTest {
    private static final long FAULT_MILLIS = 6_000;
    private static final Path TEMPLATE = Path.of("..", "deploy", "gateway.yaml");

    @Test
    void shouldKeepGuaranteesWhenHostsStoreAndReplicasFail() {
        SoakResult result = Soak.run(1, FAULT_MILLIS, TEMPLATE);

        assertEquals(List.of(), result.violations(), result::summary);
        assertTrue(result.answered() > 0, result::summary);
    }
}
