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
 * The parts of a stream that wait for a caller who reads them at its own pace.
 *
 * <p>Invariants: parts come out in order; at most the given number of bytes wait, and a caller who lets more pile up is
 * cut off; the stream completes only if it was told to, and otherwise breaks visibly. State is confined to the event
 * loop of the caller's connection; the other methods may be called by any thread.
 */
final class PartQueue implements Publisher<ByteBuf>, Subscription {
    private final Channel channel;
    private final EventLoop loop;
    private final long maxBytes;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private Option<Subscriber<? super ByteBuf>> subscriber = Option.none();
    private long waitingBytes;
    private long demand;
    private boolean complete;
    private boolean broken;
    private boolean over;
    private boolean draining;

    PartQueue(Channel channel, long maxBytes) {
        this.channel = channel;
        loop = channel.eventLoop();
        this.maxBytes = maxBytes;
    }

    void add(byte[] part) {
        loop.execute(() -> {
            if (over || broken) {
                return;
            }
            waiting.add(part);
            waitingBytes += part.length;
            if (waitingBytes > maxBytes) {
                Logger.warn("caller: a caller reads a stream too slowly and is cut off");
                broken = true;
            }
            drain();
        });
    }

    /** Ends the stream as whole. */
    void complete() {
        loop.execute(() -> {
            complete = true;
            drain();
        });
    }

    /** Ends the stream visibly broken: the connection closes without the last chunk. */
    void breakOff() {
        loop.execute(() -> {
            broken = true;
            drain();
        });
    }

    /** Ratpack subscribes on the event loop, and counts a request as unanswered unless the subscription is there at once. */
    @Override
    public void subscribe(Subscriber<? super ByteBuf> reader) {
        onLoop(() -> {
            subscriber = Option.some(reader);
            reader.onSubscribe(this);
            drain();
        });
    }

    @Override
    public void request(long count) {
        onLoop(() -> {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            drain();
        });
    }

    @Override
    public void cancel() {
        onLoop(() -> {
            over = true;
            waiting.clear();
        });
    }

    private void onLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    private void drain() {
        if (subscriber.isEmpty() || over) {
            return;
        }
        Subscriber<? super ByteBuf> reader = subscriber.get();
        if (broken) {
            over = true;
            waiting.clear();
            // Told of an error, Ratpack would end the body as if it were whole; only a closed connection shows the
            // break.
            channel.close();
            return;
        }
        if (draining) {
            return;
        }
        draining = true;
        while (demand > 0 && !waiting.isEmpty()) {
            byte[] part = waiting.poll();
            waitingBytes -= part.length;
            demand--;
            reader.onNext(Unpooled.wrappedBuffer(part));
        }
        draining = false;
        if (complete && waiting.isEmpty() && !over) {
            over = true;
            reader.onComplete();
        }
    }
}
