package org.rattanplank.cli;

/** Sleeps between two calls, and keeps the interrupt flag set when interrupted. Stateless and thread safe. */
final class Pause {
    private Pause() {}

    static void millis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
