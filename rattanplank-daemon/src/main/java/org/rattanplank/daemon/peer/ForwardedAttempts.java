package org.rattanplank.daemon.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Request;
import org.rattanplank.daemon.call.AttemptExecutor;
import org.rattanplank.daemon.call.AttemptKey;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Envelope;
import org.rattanplank.daemon.runtime.IoResources;
import org.rattanplank.schema.message.ForwardCancel;
import org.rattanplank.schema.message.ForwardChunk;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardHead;
import org.rattanplank.schema.message.ForwardRequest;
import org.rattanplank.schema.message.RequestMessage;

/**
 * Runs attempts that are forwarded to other entry hosts.
 *
 * <p>Invariants: an attempt is in the table from its start until it ends or is cancelled; when a link is disconnected,
 * the attempts already written to it end as lost at once, since a response can only arrive on the same connection.
 * Thread safe: the table is a concurrent map.
 */
public final class ForwardedAttempts implements AttemptExecutor {
    private final IoResources resources;
    private final Links links;
    private final int maxResponseBytes;
    private final Map<AttemptKey, ForwardAttempt> active = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param resources the resources shared with other components
     * @param links the links to other hosts
     * @param maxResponseBytes the largest buffered response
     */
    public ForwardedAttempts(IoResources resources, Links links, int maxResponseBytes) {
        this.resources = resources;
        this.links = links;
        this.maxResponseBytes = maxResponseBytes;
    }

    @Override
    public void start(Call call, Action.StartAttempt start, String traceParent) {
        AttemptKey key = new AttemptKey(start.requestId(), start.attempt());
        String host = start.route().peer();
        ForwardAttempt attempt = new ForwardAttempt(call, start.attempt(), host, maxResponseBytes);
        call.beginAttempt(start.attempt(), false, "");
        active.put(key, attempt);
        long remainingMillis =
                Math.max(0, start.timeoutMillis() - resources.clock().nowMillis());
        Runnable timeout = () -> end(key, attempt.lost("no response within the deadline"));
        attempt.setDeadlineTimer(resources.loops().next().schedule(timeout, remainingMillis, TimeUnit.MILLISECONDS));
        links.send(host, messageOf(call, start, remainingMillis, traceParent), new SendListener() {
            @Override
            public void writeStarted() {
                attempt.markWriteStarted();
            }

            @Override
            public void rejected(String reason) {
                end(key, attempt.notRun(reason));
            }
        });
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Option.of(active.remove(new AttemptKey(requestId, attempt))).forEach(cancelled -> {
            cancelled.cancelDeadlineTimer();
            cancelled.call().endAttempt(attempt);
            links.send(cancelled.host(), new ForwardCancel(requestId, attempt), SendListener.IGNORE);
        });
    }

    /**
     * Returns the number of active attempts.
     *
     * @return the number
     */
    public int size() {
        return active.size();
    }

    void linkDisconnected(String host) {
        active.forEach((key, attempt) -> {
            if (attempt.host().equals(host) && attempt.isWriteStarted()) {
                end(key, attempt.lost("the link was disconnected before the response was complete"));
            }
        });
    }

    void responseReceived(String host, RequestMessage message) {
        AttemptKey key = keyOf(message);
        Option<ForwardAttempt> attempt =
                Option.of(active.get(key)).filter(found -> found.host().equals(host));
        if (attempt.isEmpty()) {
            return;
        }
        attempt.get().receive(message).forEach(result -> end(key, result));
        if (message instanceof ForwardChunk && active.containsKey(key)) {
            long eventsDelivered = attempt.get().call().streamEventsRelayed();
            if (eventsDelivered > 0) {
                resources
                        .eventSink()
                        .raise(new Event.StreamProgressed(key.requestId(), key.attempt(), eventsDelivered));
            }
        }
    }

    private void end(AttemptKey key, AttemptResult result) {
        Option.of(active.remove(key)).forEach(attempt -> {
            attempt.cancelDeadlineTimer();
            attempt.call().endAttempt(key.attempt());
            resources.eventSink().raise(new Event.AttemptEnded(key.requestId(), key.attempt(), result));
        });
    }

    private static AttemptKey keyOf(RequestMessage message) {
        if (message instanceof ForwardHead headers) {
            return new AttemptKey(headers.requestId(), (int) headers.attempt());
        } else if (message instanceof ForwardChunk chunk) {
            return new AttemptKey(chunk.requestId(), (int) chunk.attempt());
        } else if (message instanceof ForwardEnd end) {
            return new AttemptKey(end.requestId(), (int) end.attempt());
        }
        return new AttemptKey("", 0);
    }

    private static ForwardRequest messageOf(
            Call call, Action.StartAttempt start, long remainingMillis, String traceParent) {
        Request request = start.request();
        Envelope envelope = call.envelope();
        return new ForwardRequest(
                request.id(),
                start.attempt(),
                request.account(),
                request.service(),
                envelope.path(),
                envelope.method(),
                envelope.contentType(),
                request.workClass().label(),
                request.repeatable(),
                request.idempotencyKey().getOrElse(""),
                request.claimed(),
                request.homeRegion(),
                request.residency().getOrElse(""),
                remainingMillis,
                request.promptTokens(),
                request.maxTokens(),
                request.prefixHashes(),
                request.stream(),
                request.passedHosts(),
                traceParent,
                envelope.body());
    }
}
