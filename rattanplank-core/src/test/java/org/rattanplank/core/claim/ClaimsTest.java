package org.rattanplank.core.claim;

import java.util.List;
import java.util.UUID;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class ClaimsTest {
    @Test
    void shouldAnswerFromKeptAnswerWhenKeyIsRepeatedElsewhere() {
        ClaimCluster cluster = ClaimCluster.of("a", "b", "c");
        assertEquals(2, cluster.claims("c").viewNumber());
        ClaimKey key = key(cluster);
        cluster.open("a", key, "r1");
        cluster.settleDown();
        assertInstanceOf(ClaimDecision.Run.class, cluster.decision("r1"));
        cluster.end("r1", key, new ClaimResult.Answered(ClaimCluster.ANSWER));
        cluster.settleDown();
        cluster.open("b", key, "r2");
        assertEquals(new ClaimDecision.Kept(ClaimCluster.ANSWER), cluster.decision("r2"));
        assertEquals(List.of("r1"), cluster.ledger);
    }

    static ClaimKey key(ClaimCluster cluster) {
        return ClaimKey.of("floor", timed(cluster.nowMillis));
    }

    static String timed(long millis) {
        return new UUID((millis << 16) | 0x7000L, 0x8000_0000_0000_0001L).toString();
    }
}
