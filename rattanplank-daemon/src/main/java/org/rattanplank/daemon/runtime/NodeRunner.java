package org.rattanplank.daemon.runtime;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.collection.List;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.tinylog.Logger;

/**
 * Runs the node on a fixed pool of worker threads.
 *
 * <p>Invariant: events with the same key (a request, a peer, or an owner of store calls) are handled in the order of
 * submission, since they are assigned to the same worker; events with different keys are not ordered. The actions of an
 * event are executed in order by the worker that handled it, without holding locks of the core. Thread safe.
 */
public final class NodeRunner implements EventSink, AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final Node node;
    private final MillisClock clock;
    private final ActionExecutor actionExecutor;
    private final List<ExecutorService> workers;
    private final ScheduledExecutorService ticker;
    private final AtomicInteger backlog = new AtomicInteger();
    private final int maxBacklog;
    private volatile boolean tickPending;

    private NodeRunner(Node node, MillisClock clock, ActionExecutor actionExecutor, int workers, int maxBacklog) {
        this.node = node;
        this.clock = clock;
        this.actionExecutor = actionExecutor;
        this.maxBacklog = maxBacklog;
        this.workers = List.range(0, workers)
                .map(number -> Executors.newSingleThreadExecutor(task -> daemonThread(task, "worker-" + number)));
        ticker = Executors.newSingleThreadScheduledExecutor(task -> daemonThread(task, "ticker"));
    }

    /**
     * Creates a runner with idle workers.
     *
     * @param node the node
     * @param clock the clock
     * @param actionExecutor executes the node's actions
     * @param workers the number of worker threads
     * @param maxBacklog the number of queued events from which new work is rejected
     * @return the runner
     */
    public static NodeRunner of(
            Node node, MillisClock clock, ActionExecutor actionExecutor, int workers, int maxBacklog) {
        return new NodeRunner(node, clock, actionExecutor, workers, maxBacklog);
    }

    /**
     * Returns the number of events that are queued for a worker.
     *
     * @return the number of events
     */
    public int backlog() {
        return backlog.get();
    }

    /**
     * Starts raising tick events periodically.
     *
     * @param intervalMillis the interval between ticks
     */
    public void startTicking(long intervalMillis) {
        ticker.scheduleWithFixedDelay(this::tick, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void raise(Event event) {
        backlog.incrementAndGet();
        try {
            workers.get(Math.floorMod(keyOf(event).hashCode(), workers.size())).execute(() -> handle(event));
        } catch (java.util.concurrent.RejectedExecutionException e) {
            backlog.decrementAndGet();
        }
    }

    @Override
    public boolean offer(Event event) {
        if (backlog.get() >= maxBacklog) {
            return false;
        }
        raise(event);
        return true;
    }

    @Override
    public void close() {
        ticker.shutdownNow();
        workers.forEach(ExecutorService::shutdown);
        workers.forEach(NodeRunner::awaitTermination);
    }

    private void tick() {
        // A queued tick makes a further one redundant. Without this check the queues of overloaded workers would fill
        // with ticks.
        if (tickPending) {
            return;
        }
        tickPending = true;
        raise(new Event.Ticked());
    }

    private void handle(Event event) {
        backlog.decrementAndGet();
        if (event instanceof Event.Ticked) {
            tickPending = false;
        }
        try {
            for (Action action : node.handle(event, clock.nowMillis())) {
                execute(action);
            }
        } catch (RuntimeException e) {
            Logger.error(
                    e, "worker: error while handling event {}", event.getClass().getSimpleName());
        }
    }

    private void execute(Action action) {
        try {
            actionExecutor.execute(action);
        } catch (RuntimeException e) {
            Logger.error(
                    e,
                    "worker: error while executing action {}",
                    action.getClass().getSimpleName());
        }
    }

    private static String keyOf(Event event) {
        if (event instanceof Event.CallerRequestReceived requested) {
            return requested.request().id();
        } else if (event instanceof Event.PeerRequestReceived requested) {
            return requested.request().id();
        } else if (event instanceof Event.RequesterLeft left) {
            return left.requestId();
        } else if (event instanceof Event.StreamProgressed progressed) {
            return progressed.requestId();
        } else if (event instanceof Event.AttemptEnded ended) {
            return ended.requestId();
        } else if (event instanceof Event.PeerConnected connected) {
            return connected.host();
        } else if (event instanceof Event.PeerLost disconnected) {
            return disconnected.host();
        } else if (event instanceof Event.MessageReceived received) {
            return received.host();
        } else if (event instanceof Event.StoreReplied replied) {
            return replied.owner().name();
        } else if (event instanceof Event.StoreChanged changed) {
            return changed.owner().name();
        } else if (event instanceof Event.WatchBroken broken) {
            return broken.owner().name();
        }
        return event.getClass().getSimpleName();
    }

    private static void awaitTermination(ExecutorService worker) {
        try {
            worker.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
