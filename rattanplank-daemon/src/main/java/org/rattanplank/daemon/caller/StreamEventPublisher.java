package org.rattanplank.daemon.caller;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.vavr.control.Option;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import org.tinylog.Logger;

/**
 * Buffers the events of a stream and publishes them as the caller's connection requests them.
 *
 * <p>Invariants: events are published in order; the number of buffered bytes is limited, and the connection of a caller
 * that exceeds the limit is closed; the stream completes only by {@link #complete}, and otherwise ends with a closed
 * connection. State is confined to the event loop of the caller's connection; all methods may be called by any thread.
 */
final class StreamEventPublisher implements Publisher<ByteBuf>, Subscription {
    private final Channel channel;
    private final EventLoop eventLoop;
    private final long maxPendingBytes;
    private final Deque<byte[]> pending = new ArrayDeque<>();
    private Option<Subscriber<? super ByteBuf>> subscriber = Option.none();
    private long pendingBytes;
    private long demand;
    private boolean complete;
    private boolean aborted;
    private boolean terminated;
    private boolean delivering;

    StreamEventPublisher(Channel channel, long maxPendingBytes) {
        this.channel = channel;
        eventLoop = channel.eventLoop();
        this.maxPendingBytes = maxPendingBytes;
    }

    void add(byte[] event) {
        eventLoop.execute(() -> {
            if (terminated || aborted) {
                return;
            }
            pending.add(event);
            pendingBytes += event.length;
            if (pendingBytes > maxPendingBytes) {
                Logger.warn("caller: stream buffer limit exceeded by a slow caller; closing its connection");
                aborted = true;
            }
            deliverPending();
        });
    }

    /** Completes the stream after its pending events. */
    void complete() {
        eventLoop.execute(() -> {
            complete = true;
            deliverPending();
        });
    }

    /** Aborts the stream: closes the connection without the last chunk, so that the caller detects the failure. */
    void abort() {
        eventLoop.execute(() -> {
            aborted = true;
            deliverPending();
        });
    }

    /** Subscribes synchronously on the event loop, since Ratpack treats a request as unanswered otherwise. */
    @Override
    public void subscribe(Subscriber<? super ByteBuf> eventSubscriber) {
        runOnEventLoop(() -> {
            subscriber = Option.some(eventSubscriber);
            eventSubscriber.onSubscribe(this);
            deliverPending();
        });
    }

    @Override
    public void request(long count) {
        runOnEventLoop(() -> {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            deliverPending();
        });
    }

    @Override
    public void cancel() {
        runOnEventLoop(() -> {
            terminated = true;
            pending.clear();
        });
    }

    private void runOnEventLoop(Runnable task) {
        if (eventLoop.inEventLoop()) {
            task.run();
        } else {
            eventLoop.execute(task);
        }
    }

    private void deliverPending() {
        if (subscriber.isEmpty() || terminated) {
            return;
        }
        Subscriber<? super ByteBuf> eventSubscriber = subscriber.get();
        if (aborted) {
            terminated = true;
            pending.clear();
            // On an error signal Ratpack would end the body as if it were complete; only a closed connection shows the
            // failure.
            channel.close();
            return;
        }
        if (delivering) {
            return;
        }
        delivering = true;
        while (demand > 0 && !pending.isEmpty()) {
            byte[] event = pending.poll();
            pendingBytes -= event.length;
            demand--;
            eventSubscriber.onNext(Unpooled.wrappedBuffer(event));
        }
        delivering = false;
        if (complete && pending.isEmpty() && !terminated) {
            terminated = true;
            eventSubscriber.onComplete();
        }
    }
}
