package org.rattanplank.daemon.store;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.daemon.http.WebRequest;
import org.rattanplank.daemon.http.WebResult;
import org.rattanplank.daemon.runtime.IoResources;
import org.tinylog.Logger;

/**
 * Calls the platform's store through the JSON gateway of etcd's version 3 API.
 *
 * <p>Invariants: each call ends with one reply; a write that may have been sent and got no response ends as unsure,
 * never as unavailable. Thread safe: the table of watches is a concurrent map.
 */
public final class EtcdStore {
    private static final long WATCH_RETRY_DELAY_MILLIS = 200;

    private final IoResources resources;
    private final URI baseUri;
    private final long timeoutMillis;
    private final long watchRenewMillis;
    private final TokenBucket callBucket;
    private final Consumer<StoreReply> replyCounter;
    private final Map<WatchKey, EtcdWatch> watches = new ConcurrentHashMap<>();

    /**
     * Creates a client of the store.
     *
     * @param resources the resources shared with other components
     * @param baseUri the store's base URL
     * @param timeoutMillis timeout of a call
     * @param watchRenewMillis time after which a watch is closed, so that its owner opens a new one
     * @param callsPerSecond the maximum rate of calls
     * @param replyCounter counts the replies by their type
     */
    public EtcdStore(
            IoResources resources,
            URI baseUri,
            long timeoutMillis,
            long watchRenewMillis,
            long callsPerSecond,
            Consumer<StoreReply> replyCounter) {
        this.resources = resources;
        this.baseUri = baseUri;
        this.timeoutMillis = timeoutMillis;
        this.watchRenewMillis = watchRenewMillis;
        callBucket = new TokenBucket(callsPerSecond, resources.clock().nowMillis());
        this.replyCounter = replyCounter;
    }

    /**
     * Sends a call, or rejects it when the rate limit is exceeded.
     *
     * @param call the call
     */
    public void call(Action.CallStore call) {
        if (!callBucket.tryAcquire(resources.clock().nowMillis())) {
            rejectOverBudget(call);
        } else if (call.command() instanceof StoreCommand.Watch watch) {
            watch(call.owner(), watch);
        } else {
            WebRequest post = WebRequest.post(uriOf(call.command()), EtcdJson.bodyOf(call.command()), timeoutMillis);
            resources
                    .webClient()
                    .send(post)
                    .thenAccept(webResult -> raiseReply(call, replyOf(call.command(), webResult)));
        }
    }

    /** Closes all watches. */
    public void close() {
        watches.values().forEach(EtcdWatch::close);
        watches.clear();
    }

    private void rejectOverBudget(Action.CallStore call) {
        Logger.warn("store: call rejected, the call rate limit is exceeded");
        if (call.command() instanceof StoreCommand.Watch watch) {
            raiseBroken(call.owner(), watch.prefix());
            return;
        }
        raiseReply(call, new StoreReply.Unavailable("the call rate limit is exceeded"));
    }

    private void raiseReply(Action.CallStore call, StoreReply reply) {
        replyCounter.accept(reply);
        resources.eventSink().raise(new Event.StoreReplied(call.owner(), call.callId(), reply));
    }

    private void watch(StoreOwner owner, StoreCommand.Watch watch) {
        WatchKey key = new WatchKey(owner, watch.prefix());
        EtcdWatch newWatch = new EtcdWatch(
                (entries, revision) ->
                        resources.eventSink().raise(new Event.StoreChanged(owner, watch.prefix(), entries, revision)),
                endedWatch -> {
                    if (watches.remove(key, endedWatch)) {
                        raiseBroken(owner, watch.prefix());
                    }
                });
        Option.of(watches.put(key, newWatch)).forEach(EtcdWatch::close);
        newWatch.start(
                resources.exchangeClient(),
                resources.loops().next(),
                baseUri,
                EtcdJson.bodyOf(watch),
                watchRenewMillis);
    }

    /**
     * Raises the event after a delay: the owner opens a new watch as soon as it is notified, which would be a busy loop
     * while the store is down.
     */
    private void raiseBroken(StoreOwner owner, String prefix) {
        resources
                .loops()
                .next()
                .schedule(
                        () -> resources.eventSink().raise(new Event.WatchBroken(owner, prefix)),
                        WATCH_RETRY_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private URI uriOf(StoreCommand command) {
        return URI.create(baseUri + EtcdJson.pathOf(command));
    }

    private static StoreReply replyOf(StoreCommand command, WebResult webResult) {
        if (webResult instanceof WebResult.NotSent notSent) {
            return new StoreReply.Unavailable(notSent.reason());
        } else if (webResult instanceof WebResult.Lost lost) {
            return replyWithoutResponse(command, lost.reason());
        }
        WebResult.Response response = (WebResult.Response) webResult;
        if (!response.isSuccess()) {
            return replyWithoutResponse(command, "the store responded with status " + response.status());
        }
        return EtcdJson.replyOf(command, response.body())
                .getOrElse(() -> replyWithoutResponse(command, "the store's response could not be parsed"));
    }

    /** A read has no effect, so one without a response is unavailable; a write may have taken effect. */
    private static StoreReply replyWithoutResponse(StoreCommand command, String reason) {
        return EtcdJson.isWrite(command) ? new StoreReply.Unsure(reason) : new StoreReply.Unavailable(reason);
    }

    private record WatchKey(StoreOwner owner, String prefix) {}
}
