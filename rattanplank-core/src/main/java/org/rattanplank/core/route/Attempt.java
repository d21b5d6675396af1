package org.rattanplank.core.route;

import io.vavr.control.Option;

/**
 * One attempt that runs, with what was expected of it. Immutable and thread safe.
 *
 * @param route where it went
 * @param target the target, if it went to one that was listed
 * @param waitMillis the wait that was expected
 * @param prefillMillis the time expected for reading what is not cached
 * @param runMillis the time expected for the whole run, zero if nothing was known to expect
 */
record Attempt(Route route, Option<Target> target, double waitMillis, double prefillMillis, double runMillis) {

    /**
     * The whole time that was expected.
     *
     * @return the wait and the run, or none if nothing was known to expect
     */
    Option<Double> expectedMillis() {
        return runMillis > 0 ? Option.some(waitMillis + runMillis) : Option.none();
    }
}
