package org.rattanplank.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.tinylog.Logger;

/**
 * Coordinates the graceful stop of the process. A signal or an operator starts it. Shortly before the timeout, or at a
 * second signal, the requests in flight are interrupted, so that their callers still get a response; a third signal or
 * the timeout terminates the stop. Thread safe.
 *
 * <p>Invariant: once started it terminates within the timeout.
 */
final class GracefulStop {
    /** Covers sending the responses of the interrupted requests and closing their connections. */
    private static final long MAX_INTERRUPTION_MILLIS = 2_000;

    private static final int INTERRUPTING_SIGNAL = 2;
    private final long timeoutMillis;
    private final long interruptionMillis;
    private final Runnable interruption;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicBoolean interrupted = new AtomicBoolean();
    private final AtomicInteger signalCount = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "stop-timer");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a stop that has not started.
     *
     * @param timeoutMillis the time after which it terminates
     * @param interruption interrupts the requests in flight; called at most once
     */
    GracefulStop(long timeoutMillis, Runnable interruption) {
        this.timeoutMillis = timeoutMillis;
        this.interruption = interruption;
        interruptionMillis = Math.min(MAX_INTERRUPTION_MILLIS, timeoutMillis / 2);
    }

    /** Starts the stop unless it has started; {@code drain} starts draining the node. */
    void start(Runnable drain) {
        if (started.compareAndSet(false, true)) {
            Logger.info("daemon: graceful stop started");
            timer.schedule(this::interrupt, timeoutMillis - interruptionMillis, TimeUnit.MILLISECONDS);
            timer.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
            drain.run();
        }
    }

    /** Handles a signal: the first starts the stop, the second interrupts the requests, the third terminates it. */
    void onSignal(Runnable drain) {
        int signals = signalCount.incrementAndGet();
        if (signals < INTERRUPTING_SIGNAL) {
            start(drain);
        } else if (signals == INTERRUPTING_SIGNAL) {
            Logger.warn("daemon: second signal received; interrupting the requests in flight");
            timer.execute(this::interrupt);
            timer.schedule(terminated::countDown, interruptionMillis, TimeUnit.MILLISECONDS);
        } else {
            Logger.warn("daemon: further signal received; terminating at once");
            terminated.countDown();
        }
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

    private void interrupt() {
        if (!isTerminated() && interrupted.compareAndSet(false, true)) {
            interruption.run();
        }
    }

    private void onTimeout() {
        Logger.warn("daemon: graceful stop did not complete within {} ms", timeoutMillis);
        terminated.countDown();
    }
}
