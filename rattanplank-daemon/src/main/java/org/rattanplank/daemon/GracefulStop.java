package org.rattanplank.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.tinylog.Logger;

/**
 * The stop of the process: asked for by a signal or an operator, bounded in time, ended by a second signal. Thread safe.
 *
 * <p>Invariant: once it has begun it ends, at the latest at its bound.
 */
final class GracefulStop {
    private final long timeoutMillis;
    private final CountDownLatch over = new CountDownLatch(1);
    private final AtomicBoolean begun = new AtomicBoolean();
    private final AtomicInteger signals = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "stop-timer");
        thread.setDaemon(true);
        return thread;
    });

    GracefulStop(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /** Begins, unless it has begun; {@code drain} tells the node. */
    void begin(Runnable drain) {
        if (begun.compareAndSet(false, true)) {
            Logger.info("daemon: a graceful stop begins");
            timer.schedule(this::timeIsUp, timeoutMillis, TimeUnit.MILLISECONDS);
            drain.run();
        }
    }

    /** Takes a signal: the first begins the stop, the second ends it. */
    void signalled(Runnable drain) {
        if (signals.incrementAndGet() > 1) {
            Logger.warn("daemon: a second signal ends the graceful stop");
            over.countDown();
            return;
        }
        begin(drain);
    }

    /** Nothing is left to do. */
    void finished() {
        over.countDown();
    }

    boolean isOver() {
        return over.getCount() == 0;
    }

    void await() throws InterruptedException {
        over.await();
    }

    private void timeIsUp() {
        Logger.warn("daemon: the graceful stop took longer than {} ms", timeoutMillis);
        over.countDown();
    }
}
