package org.rattanplank.gateway;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;

/**
 * Logs what holds the event loop, from a thread of its own: a loop that is held runs no timer and serves no metric.
 *
 * <p>Invariants: a turn of the loop is logged first after {@link #STALL_MILLIS}, and again only when it has lasted twice as
 * long; the time for which the whole process was paused is not taken for a stall. Thread safe.
 */
final class EventLoopMonitor {
    /** A turn that takes longer delays every request of the host by as much. */
    static final long STALL_MILLIS = 500;

    private static final long CHECK_MILLIS = 100;
    private static final int MAX_FRAMES = 5;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EventLog log;
    private final AtomicLong stalls = new AtomicLong();
    private volatile long lastTurnMillis;
    private volatile Thread loopThread;

    private EventLoopMonitor(EventLoop loop, MonotonicClock clock, EventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Creates a monitor, which logs nothing until it is started.
     *
     * @param loop the event loop
     * @param clock the clock
     * @param log receives the stalls
     * @return the monitor
     */
    static EventLoopMonitor of(EventLoop loop, MonotonicClock clock, EventLog log) {
        return new EventLoopMonitor(loop, clock, log);
    }

    /** Starts to observe the event loop, until it shuts down. */
    void start() {
        loop.execute(() -> {
            recordTurn();
            loopThread = Thread.currentThread();
            Thread observer = new Thread(this::observe, "event-loop-monitor");
            observer.setDaemon(true);
            observer.start();
        });
    }

    /** Records that a turn of the event loop has ended; called on the event loop. */
    void recordTurn() {
        lastTurnMillis = clock.nowMillis();
    }

    /**
     * Returns the number of stalls.
     *
     * @return the number since the start, counted when they begin
     */
    long stalls() {
        return stalls.get();
    }

    private void observe() {
        long pausedUntilMillis = 0;
        long reportAfterMillis = STALL_MILLIS;
        long checkedAtMillis = clock.nowMillis();
        while (!loop.isShuttingDown()) {
            try {
                Thread.sleep(CHECK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            long now = clock.nowMillis();
            if (now - checkedAtMillis >= STALL_MILLIS) {
                pausedUntilMillis = now;
            }
            checkedAtMillis = now;
            long heldMillis = now - Math.max(lastTurnMillis, pausedUntilMillis);
            if (heldMillis < STALL_MILLIS) {
                reportAfterMillis = STALL_MILLIS;
            } else if (heldMillis >= reportAfterMillis) {
                report(heldMillis, reportAfterMillis == STALL_MILLIS);
                reportAfterMillis = 2 * heldMillis;
            }
        }
    }

    private void report(long heldMillis, boolean first) {
        if (first) {
            stalls.incrementAndGet();
        }
        String frames = Arrays.stream(loopThread.getStackTrace())
                .limit(MAX_FRAMES)
                .map(frame -> frame.getClassName().replaceFirst(".*\\.", "")
                        + '.'
                        + frame.getMethodName()
                        + ':'
                        + frame.getLineNumber())
                .collect(Collectors.joining(" < "));
        log.writeImportant(
                LogLine.of(LogEvent.LOOP_STALLED).with("heldMillis", heldMillis).with("frames", frames));
    }
}
