package org.rattanplank.daemon;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.rattanplank.core.Event;
import org.rattanplank.daemon.runtime.Events;

/** Keeps every event for a test. Thread safe. */
public final class RecordingEvents implements Events {
    private static final long LIMIT_SECONDS = 20;

    private final BlockingQueue<Event> waiting = new LinkedBlockingQueue<>();
    private final List<Event> all = new CopyOnWriteArrayList<>();

    @Override
    public void raise(Event event) {
        all.add(event);
        waiting.add(event);
    }

    @Override
    public boolean offer(Event event) {
        raise(event);
        return true;
    }

    /**
     * Waits for the next event of a type, passing over others.
     *
     * @param type the type
     * @param <T> the type
     * @return the event
     */
    public <T extends Event> T next(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = waiting.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no " + type.getSimpleName() + " came; there were " + all);
            }
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /**
     * Counts the events of a type so far.
     *
     * @param type the type
     * @return the number
     */
    public long count(Class<? extends Event> type) {
        return all.stream().filter(type::isInstance).count();
    }
}
