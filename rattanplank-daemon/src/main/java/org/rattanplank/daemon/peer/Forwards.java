package org.rattanplank.daemon.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Request;
import org.rattanplank.daemon.call.AttemptKey;
import org.rattanplank.daemon.call.Attempts;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Envelope;
import org.rattanplank.daemon.runtime.Resources;
import org.rattanplank.schema.message.ForwardCancel;
import org.rattanplank.schema.message.ForwardChunk;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardHead;
import org.rattanplank.schema.message.ForwardRequest;
import org.rattanplank.schema.message.RequestMessage;

/**
 * The attempts that were forwarded to other entry hosts.
 *
 * <p>Invariants: an attempt is in the table from its start until its end or its cancelling; when a link breaks, what
 * was handed over to it ends as lost at once, since its answer can only come on that connection. Thread safe; the table
 * has no lock of its own.
 */
public final class Forwards implements Attempts {
    private final Resources resources;
    private final Links links;
    private final int maxAnswerBytes;
    private final Map<AttemptKey, ForwardAttempt> running = new ConcurrentHashMap<>();

    /**
     * Makes the table.
     *
     * @param resources what it shares with other parts
     * @param links the links to other hosts
     * @param maxAnswerBytes the largest whole answer
     */
    public Forwards(Resources resources, Links links, int maxAnswerBytes) {
        this.resources = resources;
        this.links = links;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    @Override
    public void start(Call call, Action.StartAttempt start, String traceParent) {
        AttemptKey key = new AttemptKey(start.requestId(), start.attempt());
        String host = start.route().peer();
        ForwardAttempt attempt = new ForwardAttempt(call, start.attempt(), host, maxAnswerBytes);
        call.begin(start.attempt(), false, "");
        running.put(key, attempt);
        long waitMillis = Math.max(0, start.timeoutMillis() - resources.clock().nowMillis());
        Runnable late = () -> end(key, attempt.lost("no answer came in time"));
        attempt.endBy(resources.loops().next().schedule(late, waitMillis, TimeUnit.MILLISECONDS));
        links.send(host, messageOf(call, start, waitMillis, traceParent), new SendListener() {
            @Override
            public void handedOver() {
                attempt.handOver();
            }

            @Override
            public void refused(String reason) {
                end(key, attempt.notRun(reason));
            }
        });
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Option.of(running.remove(new AttemptKey(requestId, attempt))).forEach(stopped -> {
            stopped.stopTimer();
            stopped.call().end(attempt);
            links.send(stopped.host(), new ForwardCancel(requestId, attempt), SendListener.NOBODY);
        });
    }

    /**
     * Counts the attempts that run.
     *
     * @return the number
     */
    public int size() {
        return running.size();
    }

    void lost(String host) {
        running.forEach((key, attempt) -> {
            if (attempt.host().equals(host) && attempt.isHandedOver()) {
                end(key, attempt.lost("the link broke before the answer was whole"));
            }
        });
    }

    void answered(String host, RequestMessage message) {
        AttemptKey key = keyOf(message);
        Option<ForwardAttempt> attempt =
                Option.of(running.get(key)).filter(found -> found.host().equals(host));
        if (attempt.isEmpty()) {
            return;
        }
        attempt.get().take(message).forEach(result -> end(key, result));
        if (message instanceof ForwardChunk && running.containsKey(key)) {
            long parts = attempt.get().call().partsPassedOn();
            if (parts > 0) {
                resources.events().raise(new Event.StreamProgressed(key.requestId(), key.attempt(), parts));
            }
        }
    }

    private void end(AttemptKey key, AttemptResult result) {
        Option.of(running.remove(key)).forEach(attempt -> {
            attempt.stopTimer();
            attempt.call().end(key.attempt());
            resources.events().raise(new Event.AttemptEnded(key.requestId(), key.attempt(), result));
        });
    }

    private static AttemptKey keyOf(RequestMessage message) {
        if (message instanceof ForwardHead head) {
            return new AttemptKey(head.requestId(), (int) head.attempt());
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
