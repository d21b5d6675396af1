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
 * Drives the node with a fixed pool of workers.
 *
 * <p>Invariant: events with the same key (a request, a peer, a part that calls the store) are handled in the order in
 * which they were handed in, since one worker takes them all; others may overtake each other. Actions of one event are
 * carried out in order by the worker that handled it, with none of the core's locks held. Thread safe.
 */
public final class NodeRunner implements Events, AutoCloseable {
    private static final long CLOSE_MILLIS = 1_000;

    private final Node node;
    private final MillisClock clock;
    private final Actions actions;
    private final List<ExecutorService> workers;
    private final ScheduledExecutorService ticker;
    private final AtomicInteger backlog = new AtomicInteger();
    private final int maxBacklog;
    private volatile boolean tickWaits;

    private NodeRunner(Node node, MillisClock clock, Actions actions, int workers, int maxBacklog) {
        this.node = node;
        this.clock = clock;
        this.actions = actions;
        this.maxBacklog = maxBacklog;
        this.workers = List.range(0, workers)
                .map(number -> Executors.newSingleThreadExecutor(task -> daemonThread(task, "worker-" + number)));
        ticker = Executors.newSingleThreadScheduledExecutor(task -> daemonThread(task, "ticker"));
    }

    /**
     * Makes a runner whose workers wait for events.
     *
     * @param node the node
     * @param clock the clock
     * @param actions what carries out the node's actions
     * @param workers how many workers there are
     * @param maxBacklog how many events may wait before new work is refused
     * @return the runner
     */
    public static NodeRunner of(Node node, MillisClock clock, Actions actions, int workers, int maxBacklog) {
        return new NodeRunner(node, clock, actions, workers, maxBacklog);
    }

    /**
     * Counts the events that wait for a worker.
     *
     * @return the number
     */
    public int backlog() {
        return backlog.get();
    }

    /**
     * Begins to tell the node that time passes.
     *
     * @param intervalMillis how often
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
        workers.forEach(NodeRunner::awaitEnd);
    }

    private void tick() {
        // A tick that still waits says the same as the next one: without this, workers that fall behind would find
        // their queues full of ticks.
        if (tickWaits) {
            return;
        }
        tickWaits = true;
        raise(new Event.Ticked());
    }

    private void handle(Event event) {
        backlog.decrementAndGet();
        if (event instanceof Event.Ticked) {
            tickWaits = false;
        }
        try {
            for (Action action : node.handle(event, clock.nowMillis())) {
                carryOut(action);
            }
        } catch (RuntimeException e) {
            Logger.error(e, "worker: an event failed: {}", event.getClass().getSimpleName());
        }
    }

    private void carryOut(Action action) {
        try {
            actions.carryOut(action);
        } catch (RuntimeException e) {
            Logger.error(e, "worker: an action failed: {}", action.getClass().getSimpleName());
        }
    }

    private static String keyOf(Event event) {
        if (event instanceof Event.CallerRequestReceived asked) {
            return asked.request().id();
        } else if (event instanceof Event.PeerRequestReceived asked) {
            return asked.request().id();
        } else if (event instanceof Event.RequesterLeft left) {
            return left.requestId();
        } else if (event instanceof Event.StreamProgressed progressed) {
            return progressed.requestId();
        } else if (event instanceof Event.AttemptEnded ended) {
            return ended.requestId();
        } else if (event instanceof Event.PeerConnected connected) {
            return connected.host();
        } else if (event instanceof Event.PeerLost lost) {
            return lost.host();
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

    private static void awaitEnd(ExecutorService worker) {
        try {
            worker.awaitTermination(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
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
