package org.rattanplank.gateway.http;

import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of requests to one address, and records how long writing them took. Thread safe. */
public final class HttpClientTraffic {
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAccumulator longestWriteMillis = new LongAccumulator(Math::max, 0);

    /**
     * Returns the number of request body bytes written so far, without headers.
     *
     * @return the number of bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the number of bytes read so far, including incomplete responses.
     *
     * @return the number of bytes
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /**
     * Returns the longest time from sending a request until the operating system accepted all of it, and resets it.
     *
     * @return milliseconds
     */
    public long resetLongestWriteMillis() {
        return longestWriteMillis.getThenReset();
    }

    void recordReceived(int bytes) {
        receivedBytes.add(bytes);
    }

    void recordWritten(int bytes, long durationMillis) {
        sentBytes.add(bytes);
        longestWriteMillis.accumulate(durationMillis);
    }
}
