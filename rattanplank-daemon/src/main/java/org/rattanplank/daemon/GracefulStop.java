package org.rattanplank.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.tinylog.Logger;

/**
 * Coordinates the graceful stop of the process. A signal or an operator starts it; a second signal or the timeout
 * terminates it. Thread safe.
 *
 * <p>Invariant: once started it terminates within the timeout.
 */
final class GracefulStop {
    private final long timeoutMillis;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicInteger signalCount = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "stop-timer");
        thread.setDaemon(true);
        return thread;
    });

    GracefulStop(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /** Starts the stop unless it has started; {@code drain} starts draining the node. */
    void start(Runnable drain) {
        if (started.compareAndSet(false, true)) {
            Logger.info("daemon: graceful stop started");
            timer.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
            drain.run();
        }
    }

    /** Handles a signal: the first starts the stop, the second terminates it. */
    void onSignal(Runnable drain) {
        if (signalCount.incrementAndGet() > 1) {
            Logger.warn("daemon: second signal received; terminating without further draining");
            terminated.countDown();
            return;
        }
        start(drain);
    }

    /** Terminates the stop because all work is finished. */
    void complete() {
        terminated.countDown();
    }

    boolean isTerminated() {
        return terminated.getCount() == 0;
    }

    void await() throws InterruptedException {
        terminated.await();
    }

    private void onTimeout() {
        Logger.warn("daemon: graceful stop did not complete within {} ms", timeoutMillis);
        terminated.countDown();
    }
}
