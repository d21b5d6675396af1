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

import org.rattanplank.bench.process.Client;
import org.rattanplank.bench.process.Deployment;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.Host;
import org.rattanplank.bench.process.Poll;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;
import org.rattanplank.standins.caller.Keys;

/**
 * Callers that go on calling through all that happens: bookings are repeated with their key at another host, queries
 * and drafts are made once.
 *
 * <p>Each call has a connection of its own, since a call on an idle connection may meet its end by chance. Invariant:
 * each call has one record. Thread safe; its callers share nothing but concurrent collections.
 */
public final class CallLoad implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_PARTS = 40;
    private static final int PROMPT_WORDS = 300;
    private static final long PAUSE_MILLIS = 100;

    private final Fleet fleet;
    private final Deployment deployment;
    private final List<Host> hosts;
    private final long seed;
    private final Duration timeout;
    private final ExecutorService callers;
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();
    private volatile int limit = Integer.MAX_VALUE;

    /**
     * Makes callers that do not call yet.
     *
     * @param fleet whom they call
     * @param seed the seed of what they ask for
     * @param timeout how long they let the system take for one call
     * @param threads how many call at once
     */
    public CallLoad(Fleet fleet, long seed, Duration timeout, int threads) {
        this.fleet = fleet;
        this.seed = seed;
        this.timeout = timeout;
        deployment = fleet.deployment();
        hosts = fleet.hosts();
        callers = Executors.newFixedThreadPool(threads);
        for (int i = 0; i < threads; i++) {
            callers.execute(this::callOn);
        }
    }

    /**
     * How many calls have ended.
     *
     * @return the number
     */
    public int endedCalls() {
        return ended.get();
    }

    /**
     * Lets the callers end after so many calls in all, and waits for them.
     *
     * @param calls how many calls at least
     * @return the records
     */
    public List<CallRecord> finishAfter(int calls) {
        limit = calls;
        return join();
    }

    /**
     * Lets the callers end their present calls, and waits for them.
     *
     * @return the records
     */
    public List<CallRecord> finish() {
        limit = 0;
        return join();
    }

    @Override
    public void close() {
        callers.shutdownNow();
    }

    private List<CallRecord> join() {
        callers.shutdown();
        try {
            if (!callers.awaitTermination(10, TimeUnit.MINUTES)) {
                throw new IllegalStateException("the callers do not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while the callers end", e);
        }
        return List.copyOf(records);
    }

    private void callOn() {
        int number = next.getAndIncrement();
        while (number < limit) {
            Random random = new Random(seed * 1_000_003 + number);
            Client client =
                    deployment.clients().get(random.nextInt(deployment.clients().size()));
            records.add(call(client, request(number, random), random));
            ended.incrementAndGet();
            number = next.getAndIncrement();
        }
    }

    private CallRequest request(int number, Random random) {
        String reference = "call-" + number;
        int kind = random.nextInt(4);
        if (kind < 2) {
            String key = Keys.version7(System.currentTimeMillis(), random);
            return CallRequest.booking(reference, deployment.plainService(), key)
                    .within(timeout);
        }
        String prompt = ("manual " + random.nextInt(5) + " ").repeat(PROMPT_WORDS);
        int parts = 1 + random.nextInt(MAX_PARTS);
        return kind == 2
                ? CallRequest.query(reference, deployment.modelService(), prompt, parts)
                        .within(timeout)
                : CallRequest.draft(reference, deployment.modelService(), prompt, parts)
                        .within(timeout);
    }

    private CallRecord call(Client client, CallRequest request, Random random) {
        Caller caller = Caller.of(client.token());
        List<CallResult> results = new ArrayList<>();
        for (Host host : order(client, random)) {
            CallResult result = caller.send(host.callers(), request);
            results.add(result);
            boolean mayRepeat = request.idempotencyKey().isDefined() || result.outcome() == CallOutcome.UNREACHED;
            if (result.outcome() == CallOutcome.ANSWERED || !mayRepeat || results.size() >= MAX_ATTEMPTS) {
                break;
            }
            Poll.pause(PAUSE_MILLIS);
        }
        return new CallRecord(client, request, results);
    }

    /** Home hosts first, then the others, and the home hosts once more at the end. */
    private List<Host> order(Client client, Random random) {
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
