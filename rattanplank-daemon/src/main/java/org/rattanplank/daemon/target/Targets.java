package org.rattanplank.daemon.target;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.OrderResult;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Step;
import org.rattanplank.daemon.call.AttemptKey;
import org.rattanplank.daemon.call.Attempts;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.http.WebCall;
import org.rattanplank.daemon.http.WebReply;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.Resources;

/**
 * The attempts at targets, and the orders to them.
 *
 * <p>Invariant: an attempt is in the table from its start until its end or its cancelling. Thread safe; the table has
 * no lock of its own, and each attempt runs on one event loop.
 */
public final class Targets implements Attempts, TargetCheck {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONFLICT = 409;

    private final Resources resources;
    private final Directory directory;
    private final AttemptLimits limits;
    private final long checkTimeoutMillis;
    private final Map<AttemptKey, TargetAttempt> running = new ConcurrentHashMap<>();

    /**
     * Makes the table.
     *
     * @param resources what it shares with other parts
     * @param directory knows the addresses
     * @param limits the bounds of an attempt
     * @param checkTimeoutMillis when a check, an order or a cancelling is given up
     */
    public Targets(Resources resources, Directory directory, AttemptLimits limits, long checkTimeoutMillis) {
        this.resources = resources;
        this.directory = directory;
        this.limits = limits;
        this.checkTimeoutMillis = checkTimeoutMillis;
    }

    @Override
    public void start(Call call, Action.StartAttempt start, String traceParent) {
        String name = start.route().peer();
        Option<ListedHost> target = directory.find(name);
        if (target.isEmpty()) {
            Failure failure = Failure.of(Step.CONNECT, name, "the target's address is not known");
            ended(new AttemptKey(start.requestId(), start.attempt()), new AttemptResult.NotRun(failure, 0));
            return;
        }
        begin(call, start, target.get(), traceParent);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Option.of(running.remove(new AttemptKey(requestId, attempt))).forEach(stopped -> {
            stopped.call().end(attempt);
            stopped.cancel();
            if (stopped.sent().model()) {
                tellNobodyWaits(stopped.sent());
            }
        });
    }

    @Override
    public CompletableFuture<Boolean> answersAnew(String target) {
        return directory
                .find(target)
                .map(host -> resources
                        .client()
                        .send(WebCall.get(uriOf(host, "/load"), checkTimeoutMillis))
                        .thenApply(reply -> reply instanceof WebReply.Answered))
                .getOrElse(() -> CompletableFuture.completedFuture(false));
    }

    /**
     * Counts the attempts that run.
     *
     * @return the number
     */
    public int size() {
        return running.size();
    }

    /**
     * Gives a target an order.
     *
     * @param order the order
     */
    public void order(Action.OrderTarget order) {
        Option<ListedHost> target = directory.find(order.target());
        if (target.isEmpty()) {
            resources.events().raise(new Event.OrderAnswered(order.orderId(), OrderResult.REFUSED));
            return;
        }
        byte[] body = JSON.createObjectNode()
                .put("orderId", order.orderId())
                .put("fencingNumber", order.fencingNumber())
                .put("verb", order.verb())
                .put("subject", order.subject())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        WebCall call = WebCall.post(uriOf(target.get(), "/orders"), body, checkTimeoutMillis)
                .withHeader(TargetCall.REQUEST_ID, "order-" + order.orderId());
        resources.client().send(call).thenAccept(reply -> resources
                .events()
                .raise(new Event.OrderAnswered(order.orderId(), resultOf(reply))));
    }

    private void begin(Call call, Action.StartAttempt start, ListedHost target, String traceParent) {
        AttemptKey key = new AttemptKey(start.requestId(), start.attempt());
        String freshId = call.envelope().targetIdBase() + "." + start.attempt();
        String sentId = call.begin(start.attempt(), start.resumeAtStreamEvent() > 0, freshId);
        TargetCall sent = TargetCall.of(
                target, start.request(), call.envelope(), sentId, start.resumeAtStreamEvent(), traceParent);
        TargetAttempt attempt = new TargetAttempt(
                resources.loops().next(), call, start.attempt(), sent, limits, this, new AttemptListener() {
                    @Override
                    public void progressed(long parts) {
                        resources.events().raise(new Event.StreamProgressed(key.requestId(), key.attempt(), parts));
                    }

                    @Override
                    public void ended(AttemptResult result) {
                        running.remove(key);
                        Targets.this.ended(key, result);
                    }
                });
        long waitMillis = Math.max(0, start.timeoutMillis() - resources.clock().nowMillis());
        running.put(key, attempt);
        attempt.start(resources.exchanges(), waitMillis);
    }

    private void ended(AttemptKey key, AttemptResult result) {
        resources.events().raise(new Event.AttemptEnded(key.requestId(), key.attempt(), result));
    }

    /** Tells an engine that nobody wants the answer; a lost word costs only work that the engine does in vain. */
    private void tellNobodyWaits(TargetCall sent) {
        resources
                .client()
                .send(WebCall.delete(uriOf(sent.target(), TargetCall.streamPath(sent.sentId())), checkTimeoutMillis)
                        .withHeader(TargetCall.REQUEST_ID, sent.sentId()));
    }

    private static URI uriOf(ListedHost host, String path) {
        return URI.create("http://" + host.address() + ":" + host.port() + path);
    }

    private static OrderResult resultOf(WebReply reply) {
        if (reply instanceof WebReply.Answered answered) {
            if (answered.isSuccess()) {
                return OrderResult.TAKEN;
            }
            return answered.status() == CONFLICT ? OrderResult.FENCED : OrderResult.REFUSED;
        }
        return reply instanceof WebReply.NotSent ? OrderResult.REFUSED : OrderResult.UNSURE;
    }
}
