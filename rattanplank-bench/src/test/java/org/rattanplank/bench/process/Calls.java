package org.rattanplank.bench.process;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;
import org.rattanplank.standins.caller.IdempotencyKeys;

/** Sends calls of one client account to a fleet, each with a unique reference. Thread safe. */
final class Calls {
    private static final AtomicInteger LAST_NUMBER = new AtomicInteger();
    private static final Random RANDOM = new Random(7);
    private static final Duration CALL_TIMEOUT = Duration.ofMinutes(3);
    private static final long WAIT_TIMEOUT_SECONDS = 60;

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
        String reference = "booking-" + LAST_NUMBER.incrementAndGet();
        String key = IdempotencyKeys.version7(System.currentTimeMillis(), RANDOM);
        return CallRequest.booking(reference, fleet.deployment().plainService(), key)
                .withTimeout(CALL_TIMEOUT);
    }

    CallRequest newDraft(int maxTokens) {
        String reference = "draft-" + LAST_NUMBER.incrementAndGet();
        return CallRequest.draft(reference, fleet.deployment().modelService(), "a line manual", maxTokens)
                .withTimeout(CALL_TIMEOUT);
    }

    CompletableFuture<CallResult> start(Host host, CallRequest call) {
        return caller.sendAsync(host.callersAddress(), call);
    }

    /** Waits much less than the call's deadline, so that an outcome that only the deadline brings about fails. */
    static CallResult await(CompletableFuture<CallResult> result) {
        return result.orTimeout(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
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
        Poll.until(call.reference() + " is running", WAIT_TIMEOUT_SECONDS * 1_000, () -> runs(call) > 0);
    }

    /** Waits until no run of a call is in progress, and returns the number of its runs. */
    long settledRuns(CallRequest call) {
        Poll.until(
                call.reference() + " is no longer running", WAIT_TIMEOUT_SECONDS * 1_000, () -> fleet.ledger().stream()
                        .noneMatch(run -> run.reference().equals(call.reference())
                                && run.state().equals("running")));
        return runs(call);
    }
}
