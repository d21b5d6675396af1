package org.rattanplank.daemon.metric;

import java.util.Objects;

import org.rattanplank.daemon.peer.TrafficCounter;
import org.rattanplank.schema.message.ClaimMessage;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.RequestMessage;

/**
 * Counts the bytes and claim messages on peer links, with forwarded requests separate from control traffic. Immutable and thread safe.
 *
 * @param metrics the metrics to update
 */
public record LinkTrafficCounter(DaemonMetrics metrics) implements TrafficCounter {
    private static final String IN = "in";
    private static final String OUT = "out";

    public LinkTrafficCounter {
        Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void sent(PeerMessage message, int bytes) {
        count(message, OUT, bytes);
    }

    @Override
    public void received(PeerMessage message, int bytes) {
        count(message, IN, bytes);
    }

    private void count(PeerMessage message, String direction, int bytes) {
        metrics.traffic(message instanceof RequestMessage ? "forward" : "control", direction, bytes);
        if (message instanceof ClaimMessage) {
            metrics.claimMessage(direction);
        }
    }
}
