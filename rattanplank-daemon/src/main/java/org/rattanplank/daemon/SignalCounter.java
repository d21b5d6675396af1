package org.rattanplank.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.tinylog.Logger;

/**
 * Turns the first signal into a graceful stop with a bound, and the second into an end at once. Thread safe.
 */
final class SignalCounter {
    private final Daemon daemon;
    private final CountDownLatch over;
    private final long drainTimeoutMillis;
    private final AtomicInteger received = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "drain-timer");
        thread.setDaemon(true);
        return thread;
    });

    SignalCounter(Daemon daemon, CountDownLatch over, long drainTimeoutMillis) {
        this.daemon = daemon;
        this.over = over;
        this.drainTimeoutMillis = drainTimeoutMillis;
    }

    void received() {
        if (received.incrementAndGet() > 1) {
            Logger.warn("daemon: a second signal ends the graceful stop");
            over.countDown();
            return;
        }
        Logger.info("daemon: a graceful stop begins");
        daemon.drain();
        timer.schedule(this::timeIsUp, drainTimeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void timeIsUp() {
        Logger.warn("daemon: the graceful stop took longer than {} ms", drainTimeoutMillis);
        over.countDown();
    }
}
