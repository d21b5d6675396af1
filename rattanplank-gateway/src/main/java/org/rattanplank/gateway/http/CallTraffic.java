package org.rattanplank.gateway.http;

import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/** The bytes of calls to one address, and how long calls waited until they were written. Thread safe. */
public final class CallTraffic {
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAccumulator longestWriteMillis = new LongAccumulator(Math::max, 0);

    /**
     * The bytes written so far, bodies alone.
     *
     * @return how many
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * The bytes read so far, answers that did not come whole included.
     *
     * @return how many
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /**
     * The longest time from a call to the moment at which the system had taken all of it, since this was asked last.
     *
     * @return milliseconds
     */
    public long takeLongestWriteMillis() {
        return longestWriteMillis.getThenReset();
    }

    void received(int bytes) {
        receivedBytes.add(bytes);
    }

    void written(int bytes, long tookMillis) {
        sentBytes.add(bytes);
        longestWriteMillis.accumulate(tookMillis);
    }
}
