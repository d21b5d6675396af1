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
import org.rattanplank.daemon.http.WebCall;
import org.rattanplank.daemon.http.WebReply;
import org.rattanplank.daemon.runtime.Resources;
import org.tinylog.Logger;

/**
 * Calls the platform's store by etcd's version 3 calls in JSON.
 *
 * <p>Invariants: each call ends with one reply; a write whose call may have been sent and has no answer is unsure, never
 * unavailable. Thread safe; the table of watches has no lock of its own.
 */
public final class EtcdStore {
    private static final long WATCH_PAUSE_MILLIS = 200;

    private final Resources resources;
    private final URI baseUri;
    private final long timeoutMillis;
    private final long watchRenewMillis;
    private final RateBudget budget;
    private final Consumer<StoreReply> counter;
    private final Map<WatchKey, EtcdWatch> watches = new ConcurrentHashMap<>();

    /**
     * Makes a client of the store.
     *
     * @param resources what it shares with other parts
     * @param baseUri the store's base address
     * @param timeoutMillis when a call is given up
     * @param watchRenewMillis when a watch is ended and made anew
     * @param callsPerSecond the budget of calls
     * @param counter counts how calls end
     */
    public EtcdStore(
            Resources resources,
            URI baseUri,
            long timeoutMillis,
            long watchRenewMillis,
            long callsPerSecond,
            Consumer<StoreReply> counter) {
        this.resources = resources;
        this.baseUri = baseUri;
        this.timeoutMillis = timeoutMillis;
        this.watchRenewMillis = watchRenewMillis;
        budget = new RateBudget(callsPerSecond, resources.clock().nowMillis());
        this.counter = counter;
    }

    /**
     * Makes a call.
     *
     * @param call the call
     */
    public void call(Action.CallStore call) {
        if (!budget.take(resources.clock().nowMillis())) {
            overBudget(call);
        } else if (call.command() instanceof StoreCommand.Watch watch) {
            watch(call.owner(), watch);
        } else {
            WebCall post = WebCall.post(uriOf(call.command()), EtcdJson.bodyOf(call.command()), timeoutMillis);
            resources.client().send(post).thenAccept(reply -> replied(call, replyOf(call.command(), reply)));
        }
    }

    /** Ends all watches. */
    public void close() {
        watches.values().forEach(EtcdWatch::close);
        watches.clear();
    }

    private void overBudget(Action.CallStore call) {
        Logger.warn("store: a call was refused by the budget of calls");
        if (call.command() instanceof StoreCommand.Watch watch) {
            raiseBroken(call.owner(), watch.prefix());
            return;
        }
        replied(call, new StoreReply.Unavailable("the budget of calls is used up"));
    }

    private void replied(Action.CallStore call, StoreReply reply) {
        counter.accept(reply);
        resources.events().raise(new Event.StoreReplied(call.owner(), call.callId(), reply));
    }

    private void watch(StoreOwner owner, StoreCommand.Watch watch) {
        WatchKey key = new WatchKey(owner, watch.prefix());
        EtcdWatch made = new EtcdWatch(
                (entries, revision) ->
                        resources.events().raise(new Event.StoreChanged(owner, watch.prefix(), entries, revision)),
                broken -> {
                    if (watches.remove(key, broken)) {
                        raiseBroken(owner, watch.prefix());
                    }
                });
        Option.of(watches.put(key, made)).forEach(EtcdWatch::close);
        made.start(resources.exchanges(), resources.loops().next(), baseUri, EtcdJson.bodyOf(watch), watchRenewMillis);
    }

    /** Told at once, the owner would watch again at once: while the store is down, both would go round without end. */
    private void raiseBroken(StoreOwner owner, String prefix) {
        resources
                .loops()
                .next()
                .schedule(
                        () -> resources.events().raise(new Event.WatchBroken(owner, prefix)),
                        WATCH_PAUSE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private URI uriOf(StoreCommand command) {
        return URI.create(baseUri + EtcdJson.pathOf(command));
    }

    private static StoreReply replyOf(StoreCommand command, WebReply reply) {
        if (reply instanceof WebReply.NotSent notSent) {
            return new StoreReply.Unavailable(notSent.reason());
        } else if (reply instanceof WebReply.Lost lost) {
            return withoutAnswer(command, lost.reason());
        }
        WebReply.Answered answered = (WebReply.Answered) reply;
        if (!answered.isSuccess()) {
            return withoutAnswer(command, "the store answered with status " + answered.status());
        }
        return EtcdJson.replyOf(command, answered.body())
                .getOrElse(() -> withoutAnswer(command, "the store's answer cannot be read"));
    }

    /** A read has no effect, so one without an answer is unavailable; a write may have taken effect. */
    private static StoreReply withoutAnswer(StoreCommand command, String reason) {
        return EtcdJson.isWrite(command) ? new StoreReply.Unsure(reason) : new StoreReply.Unavailable(reason);
    }

    private record WatchKey(StoreOwner owner, String prefix) {}
}
