package org.rattanplank.gateway.peer;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent to other hosts by kind, and the bytes received from them. Thread safe. */
public final class PeerTraffic {
    private final Map<Kind, LongAdder> sentByKind = new EnumMap<>(Kind.class);
    private final LongAdder receivedBytes = new LongAdder();

    /** Creates counters that are zero. */
    public PeerTraffic() {
        for (Kind kind : Kind.values()) {
            sentByKind.put(kind, new LongAdder());
        }
    }

    /**
     * Returns the number of bytes sent so far.
     *
     * @param kind the kind of traffic
     * @return the bytes
     */
    public long sentBytes(Kind kind) {
        return sentByKind.get(kind).sum();
    }

    /**
     * Returns the number of bytes received so far.
     *
     * @return the bytes
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    void recordReceived(int count) {
        receivedBytes.add(count);
    }

    void recordSent(PeerFrame frame, int count) {
        sentByKind.get(Kind.of(frame)).add(count);
    }

    /** The kind of traffic. Immutable and thread safe. */
    public enum Kind {
        /** Heartbeats, work at targets and loads of regions. */
        STATES,
        /** Contents of the store. */
        STORE,
        /** Requests of callers and their responses. */
        REQUESTS;

        /**
         * Returns the value of the metric label for this kind.
         *
         * @return the label
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }

        private static Kind of(PeerFrame frame) {
            if (frame instanceof PeerFrame.StoreItems || frame instanceof PeerFrame.Fragment) {
                return STORE;
            }
            boolean isState = frame instanceof PeerFrame.State
                    || frame instanceof PeerFrame.LargePrefillNotice
                    || frame instanceof PeerFrame.CrashNotice
                    || frame instanceof PeerFrame.PromptPartCrashNotice
                    || frame instanceof PeerFrame.Hello;
            return isState ? STATES : REQUESTS;
        }
    }
}
