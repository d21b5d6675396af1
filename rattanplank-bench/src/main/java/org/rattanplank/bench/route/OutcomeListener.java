package org.rattanplank.bench.route;

/** Receives the outcome of a request; exactly one of the methods is called, unless the request is cancelled. */
interface OutcomeListener {

    /** Called with the region that served the request and the time of the first token of the response. */
    void answered(int region, long firstTokenMillis);

    /** Called if the request definitely did not run. */
    void notRun(long retryAfterMillis);

    /** Called if the request may have run. */
    void unknown();
}
