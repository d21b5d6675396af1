package org.rattanplank.bench.process;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;
import org.rattanplank.standins.caller.Keys;

/** Calls of one client to a fleet, each under a name of its own. Thread safe. */
final class Calls {
    private static final AtomicInteger NUMBER = new AtomicInteger();
    private static final Random RANDOM = new Random(7);
    private static final Duration LONG = Duration.ofMinutes(3);
    private static final long BOUND_SECONDS = 60;

    private final Fleet fleet;
    private final Caller caller;

    private Calls(Fleet fleet, Caller caller) {
        this.fleet = fleet;
        this.caller = caller;
    }

    static Calls of(Fleet fleet, String account) {
        return new Calls(fleet, Caller.of(account + "-token"));
    }

    CallRequest newBooking() {
        String reference = "booking-" + NUMBER.incrementAndGet();
        String key = Keys.version7(System.currentTimeMillis(), RANDOM);
        return CallRequest.booking(reference, fleet.deployment().plainService(), key)
                .within(LONG);
    }

    CallRequest newDraft(int parts) {
        String reference = "draft-" + NUMBER.incrementAndGet();
        return CallRequest.draft(reference, fleet.deployment().modelService(), "a line manual", parts)
                .within(LONG);
    }

    CompletableFuture<CallResult> start(Host host, CallRequest call) {
        return caller.start(host.callers(), call);
    }

    /** Waits far less than the call's own deadline, so that an outcome that only comes with the deadline fails. */
    static CallResult await(CompletableFuture<CallResult> result) {
        return result.orTimeout(BOUND_SECONDS, TimeUnit.SECONDS).join();
    }

    CallResult send(Host host, CallRequest call) {
        return await(start(host, call));
    }

    long runs(CallRequest call) {
        return fleet.ledger().stream()
                .filter(run -> run.reference().equals(call.reference()))
                .count();
    }

    void awaitRunning(CallRequest call) {
        Poll.until(call.reference() + " runs", BOUND_SECONDS * 1_000, () -> runs(call) > 0);
    }

    /** Waits until nothing of a call runs any more, and tells how often it ran. */
    long settledRuns(CallRequest call) {
        Poll.until(call.reference() + " has ended", BOUND_SECONDS * 1_000, () -> fleet.ledger().stream()
                .noneMatch(run ->
                        run.reference().equals(call.reference()) && run.state().equals("running")));
        return runs(call);
    }
}
