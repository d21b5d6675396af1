package org.rattanplank.bench.route;

/** How a request ends for whoever asked; exactly one of these is called. */
interface Reply {

    /** The answer came, with the region that served it and the time of its first token. */
    void answered(int region, long firstTokenMillis);

    /** The request surely did not run. */
    void notRun(long retryAfterMillis);

    /** The request may have run. */
    void unknown();
}
