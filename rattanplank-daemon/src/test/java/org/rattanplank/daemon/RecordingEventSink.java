package org.rattanplank.daemon;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.rattanplank.core.Event;
import org.rattanplank.daemon.runtime.EventSink;

/** Records all events for a test. Thread safe. */
public final class RecordingEventSink implements EventSink {
    private static final long EVENT_TIMEOUT_SECONDS = 20;

    private final BlockingQueue<Event> unread = new LinkedBlockingQueue<>();
    private final List<Event> all = new CopyOnWriteArrayList<>();

    @Override
    public void raise(Event event) {
        all.add(event);
        unread.add(event);
    }

    @Override
    public boolean offer(Event event) {
        raise(event);
        return true;
    }

    /**
     * Waits for the next event of a type and skips events of other types.
     *
     * @param type the class of the event
     * @param <T> the type of the event
     * @return the event
     */
    public <T extends Event> T next(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = unread.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no " + type.getSimpleName() + " event received; all events: " + all);
            }
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /**
     * Returns the number of events of a type received so far.
     *
     * @param type the class of the events
     * @return the number of events
     */
    public long count(Class<? extends Event> type) {
        return all.stream().filter(type::isInstance).count();
    }
}
