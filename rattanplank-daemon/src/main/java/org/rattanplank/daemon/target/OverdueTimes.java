package org.rattanplank.daemon.target;

/**
 * When a connection to a target is checked against a new one. Immutable and thread safe.
 *
 * @param answerMillis after this long without a plain service's answer
 * @param modelMillis after this long without a model's answer or the first part of its stream
 * @param partMillis after this long without a further part
 */
public record OverdueTimes(long answerMillis, long modelMillis, long partMillis) {

    /**
     * Finds how long a connection may bring nothing.
     *
     * @param model whether the target is a model engine
     * @param streaming whether parts of the answer are due one after the other
     * @return the time
     */
    public long afterMillis(boolean model, boolean streaming) {
        if (streaming) {
            return partMillis;
        }
        return model ? modelMillis : answerMillis;
    }
}
