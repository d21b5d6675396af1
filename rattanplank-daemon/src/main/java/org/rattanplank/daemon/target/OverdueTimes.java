package org.rattanplank.daemon.target;

/**
 * When a connection to a target is checked against a new one. Immutable and thread safe.
 *
 * @param responseMillis time without the response of a service that is not a model engine
 * @param modelMillis time without a model engine's response or the first event of its stream
 * @param streamEventMillis time without a further stream event
 */
public record OverdueTimes(long responseMillis, long modelMillis, long streamEventMillis) {

    /**
     * Returns how long a connection may receive nothing before it is checked.
     *
     * @param model whether the target is a model engine
     * @param streaming whether the response is a stream that has begun
     * @return the time in milliseconds
     */
    public long thresholdMillis(boolean model, boolean streaming) {
        if (streaming) {
            return streamEventMillis;
        }
        return model ? modelMillis : responseMillis;
    }
}
