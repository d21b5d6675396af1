package org.rattanplank.daemon.target;

import org.rattanplank.core.request.AttemptResult;

/** Hears how an attempt goes, on its event loop. */
interface AttemptListener {

    /**
     * Whoever asked got one more part.
     *
     * @param parts how many parts it has
     */
    void progressed(long parts);

    /**
     * The attempt ended; it hears nothing more.
     *
     * @param result how
     */
    void ended(AttemptResult result);
}
