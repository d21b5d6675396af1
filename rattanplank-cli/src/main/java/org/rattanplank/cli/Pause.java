package org.rattanplank.cli;

/** Lets time pass between two calls. Stateless and thread safe. */
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
