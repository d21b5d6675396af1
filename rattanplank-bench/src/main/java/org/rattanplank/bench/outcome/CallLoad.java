package org.rattanplank.bench.outcome;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.rattanplank.bench.process.ClientAccount;
import org.rattanplank.bench.process.Deployment;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.Host;
import org.rattanplank.bench.process.Poll;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;
import org.rattanplank.standins.caller.IdempotencyKeys;

/**
 * Generates calls continuously during disturbances. Bookings are retried at another host with their idempotency key;
 * queries and drafts are retried only if no host was reached.
 *
 * <p>Each call uses a connection of its own, since an idle connection may be closed just when a call is sent on it.
 * Invariant: each call has one record. Thread safe; its callers share only concurrent collections.
 */
public final class CallLoad implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_STREAM_EVENTS = 40;
    private static final int PROMPT_WORDS = 300;
    private static final long RETRY_DELAY_MILLIS = 100;

    private final Fleet fleet;
    private final Deployment deployment;
    private final List<Host> hosts;
    private final long seed;
    private final Duration timeout;
    private final ExecutorService callers;
    private final AtomicInteger nextCallNumber = new AtomicInteger();
    private final AtomicInteger endedCallCount = new AtomicInteger();
    private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();
    private volatile int callLimit = Integer.MAX_VALUE;

    /**
     * Creates the callers and starts calling.
     *
     * @param fleet the fleet to call
     * @param seed the seed of the generated requests
     * @param timeout the timeout of each call
     * @param threads the number of concurrent callers
     */
    public CallLoad(Fleet fleet, long seed, Duration timeout, int threads) {
        this.fleet = fleet;
        this.seed = seed;
        this.timeout = timeout;
        deployment = fleet.deployment();
        hosts = fleet.hosts();
        callers = Executors.newFixedThreadPool(threads);
        for (int i = 0; i < threads; i++) {
            callers.execute(this::callUntilLimit);
        }
    }

    /**
     * Returns the number of calls that have ended.
     *
     * @return the number of calls
     */
    public int endedCalls() {
        return endedCallCount.get();
    }

    /**
     * Waits until the given number of calls has been made in total, then stops the callers.
     *
     * @param calls the minimum number of calls
     * @return the records
     */
    public List<CallRecord> finishAfter(int calls) {
        callLimit = calls;
        return awaitCallers();
    }

    /**
     * Stops the callers after their current calls and waits for them.
     *
     * @return the records
     */
    public List<CallRecord> finish() {
        callLimit = 0;
        return awaitCallers();
    }

    @Override
    public void close() {
        callers.shutdownNow();
    }

    private List<CallRecord> awaitCallers() {
        callers.shutdown();
        try {
            if (!callers.awaitTermination(10, TimeUnit.MINUTES)) {
                throw new IllegalStateException("callers did not finish within 10 minutes");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the callers to finish", e);
        }
        return List.copyOf(records);
    }

    private void callUntilLimit() {
        int number = nextCallNumber.getAndIncrement();
        while (number < callLimit) {
            Random random = new Random(seed * 1_000_003 + number);
            ClientAccount client = deployment
                    .clientAccounts()
                    .get(random.nextInt(deployment.clientAccounts().size()));
            records.add(call(client, request(number, random), random));
            endedCallCount.incrementAndGet();
            number = nextCallNumber.getAndIncrement();
        }
    }

    private CallRequest request(int number, Random random) {
        String reference = "call-" + number;
        int callKind = random.nextInt(4);
        if (callKind < 2) {
            String key = IdempotencyKeys.version7(System.currentTimeMillis(), random);
            return CallRequest.booking(reference, deployment.plainService(), key)
                    .withTimeout(timeout);
        }
        String prompt = ("manual " + random.nextInt(5) + " ").repeat(PROMPT_WORDS);
        int streamEvents = 1 + random.nextInt(MAX_STREAM_EVENTS);
        return callKind == 2
                ? CallRequest.query(reference, deployment.modelService(), prompt, streamEvents)
                        .withTimeout(timeout)
                : CallRequest.draft(reference, deployment.modelService(), prompt, streamEvents)
                        .withTimeout(timeout);
    }

    private CallRecord call(ClientAccount client, CallRequest request, Random random) {
        Caller caller = Caller.of(client.token());
        List<CallResult> results = new ArrayList<>();
        for (Host host : hostOrder(client, random)) {
            CallResult result = caller.send(host.callersAddress(), request);
            results.add(result);
            boolean mayRetry = request.idempotencyKey().isDefined() || result.outcome() == CallOutcome.UNREACHED;
            if (result.outcome() == CallOutcome.ANSWERED || !mayRetry || results.size() >= MAX_ATTEMPTS) {
                break;
            }
            Poll.pause(RETRY_DELAY_MILLIS);
        }
        return new CallRecord(client, request, results);
    }

    /** Returns the home hosts, then one host of another data centre, then the home hosts again. */
    private List<Host> hostOrder(ClientAccount client, Random random) {
        List<Host> home = new ArrayList<>(fleet.hostsOf(client.homeDataCentre()));
        List<Host> away = new ArrayList<>(hosts);
        away.removeAll(home);
        Collections.shuffle(home, random);
        Collections.shuffle(away, random);
        List<Host> order = new ArrayList<>(home);
        order.add(away.get(0));
        order.addAll(home);
        return order;
    }
}
