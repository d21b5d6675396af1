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
import org.rattanplank.daemon.call.AttemptExecutor;
import org.rattanplank.daemon.call.AttemptKey;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.http.WebRequest;
import org.rattanplank.daemon.http.WebResult;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.IoResources;

/**
 * Runs attempts at targets and sends orders to them.
 *
 * <p>Invariant: an attempt is in the table from its start until it ends or is cancelled. Thread safe: the table is a
 * concurrent map, and each attempt is confined to one event loop.
 */
public final class Targets implements AttemptExecutor, TargetCheck {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONFLICT = 409;

    private final IoResources resources;
    private final Directory directory;
    private final AttemptLimits limits;
    private final long controlTimeoutMillis;
    private final Map<AttemptKey, TargetAttempt> activeAttempts = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param resources the resources shared with other components
     * @param directory resolves the addresses of targets
     * @param limits the limits of an attempt
     * @param controlTimeoutMillis timeout of a check, an order or a cancellation
     */
    public Targets(IoResources resources, Directory directory, AttemptLimits limits, long controlTimeoutMillis) {
        this.resources = resources;
        this.directory = directory;
        this.limits = limits;
        this.controlTimeoutMillis = controlTimeoutMillis;
    }

    @Override
    public void start(Call call, Action.StartAttempt start, String traceParent) {
        String name = start.route().peer();
        Option<ListedHost> target = directory.find(name);
        if (target.isEmpty()) {
            Failure failure = Failure.of(Step.CONNECT, name, "the target's address is unknown");
            ended(new AttemptKey(start.requestId(), start.attempt()), new AttemptResult.NotRun(failure, 0));
            return;
        }
        begin(call, start, target.get(), traceParent);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Option.of(activeAttempts.remove(new AttemptKey(requestId, attempt))).forEach(cancelled -> {
            cancelled.call().endAttempt(attempt);
            cancelled.cancel();
            if (cancelled.targetCall().model()) {
                cancelAtEngine(cancelled.targetCall());
            }
        });
    }

    @Override
    public CompletableFuture<Boolean> respondsOnNewConnection(String target) {
        return directory
                .find(target)
                .map(host -> resources
                        .webClient()
                        .send(WebRequest.get(uriOf(host, "/load"), controlTimeoutMillis))
                        .thenApply(webResult -> webResult instanceof WebResult.Response))
                .getOrElse(() -> CompletableFuture.completedFuture(false));
    }

    @Override
    public CompletableFuture<Boolean> refusesConnections(String target) {
        return directory
                .find(target)
                .map(host ->
                        resources.exchangeClient().isRefused(resources.loops().next(), host.address(), host.port()))
                .getOrElse(() -> CompletableFuture.completedFuture(false));
    }

    /**
     * Returns the number of active attempts.
     *
     * @return the number
     */
    public int size() {
        return activeAttempts.size();
    }

    /**
     * Sends an order to a target.
     *
     * @param order the order
     */
    public void sendOrder(Action.OrderTarget order) {
        Option<ListedHost> target = directory.find(order.target());
        if (target.isEmpty()) {
            resources.eventSink().raise(new Event.OrderAnswered(order.orderId(), OrderResult.REFUSED));
            return;
        }
        byte[] body = JSON.createObjectNode()
                .put("orderId", order.orderId())
                .put("fencingNumber", order.fencingNumber())
                .put("verb", order.verb())
                .put("subject", order.subject())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        WebRequest request = WebRequest.post(uriOf(target.get(), "/orders"), body, controlTimeoutMillis)
                .withHeader(TargetCall.REQUEST_ID, "order-" + order.orderId());
        resources.webClient().send(request).thenAccept(webResult -> resources
                .eventSink()
                .raise(new Event.OrderAnswered(order.orderId(), resultOf(webResult))));
    }

    private void begin(Call call, Action.StartAttempt start, ListedHost target, String traceParent) {
        AttemptKey key = new AttemptKey(start.requestId(), start.attempt());
        String freshId = call.envelope().targetIdBase() + "." + start.attempt();
        String sentId = call.beginAttempt(start.attempt(), start.resumeAtStreamEvent() > 0, freshId);
        TargetCall targetCall = TargetCall.of(
                target, start.request(), call.envelope(), sentId, start.resumeAtStreamEvent(), traceParent);
        TargetAttempt attempt = new TargetAttempt(
                resources.loops().next(), call, start.attempt(), targetCall, limits, this, new AttemptListener() {
                    @Override
                    public void progressed(long eventsDelivered) {
                        resources
                                .eventSink()
                                .raise(new Event.StreamProgressed(key.requestId(), key.attempt(), eventsDelivered));
                    }

                    @Override
                    public void targetLeaving() {
                        resources.eventSink().raise(new Event.TargetLeaving(target.name()));
                    }

                    @Override
                    public void pauseRequested(long millis) {
                        resources.eventSink().raise(new Event.TargetPauseRequested(target.name(), millis));
                    }

                    @Override
                    public void ended(AttemptResult result) {
                        activeAttempts.remove(key);
                        Targets.this.ended(key, result);
                    }
                });
        long remainingMillis =
                Math.max(0, start.timeoutMillis() - resources.clock().nowMillis());
        activeAttempts.put(key, attempt);
        attempt.start(resources.exchangeClient(), remainingMillis);
    }

    private void ended(AttemptKey key, AttemptResult result) {
        resources.eventSink().raise(new Event.AttemptEnded(key.requestId(), key.attempt(), result));
    }

    /** Cancels the stream at the engine, best effort: if the call is lost, the engine only wastes work. */
    private void cancelAtEngine(TargetCall targetCall) {
        resources
                .webClient()
                .send(WebRequest.delete(
                                uriOf(targetCall.target(), TargetCall.streamPath(targetCall.sentId())),
                                controlTimeoutMillis)
                        .withHeader(TargetCall.REQUEST_ID, targetCall.sentId()));
    }

    private static URI uriOf(ListedHost host, String path) {
        return URI.create("http://" + host.address() + ":" + host.port() + path);
    }

    private static OrderResult resultOf(WebResult webResult) {
        if (webResult instanceof WebResult.Response response) {
            if (response.isSuccess()) {
                return OrderResult.TAKEN;
            }
            return response.status() == CONFLICT ? OrderResult.FENCED : OrderResult.REFUSED;
        }
        return webResult instanceof WebResult.NotSent ? OrderResult.REFUSED : OrderResult.UNSURE;
    }
}
