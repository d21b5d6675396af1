package org.rattanplank.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * A plain service: bookings or quotes that take a fixed time, with bounded concurrency. Confined to the targets'
 * thread.
 *
 * <p>Invariant: it ignores idempotency keys; a call that arrives twice is executed twice.
 */
final class PlainService implements RequestExecutor {
    private static final String CACHE_EVENTS_PATH = "/cache-events";
    private static final int MAX_QUEUED_CALLS = 200;

    private final EventLoop loop;
    private final TargetOptions options;
    private final Function<Call, Execution> startExecution;
    private final Deque<Call> queue = new ArrayDeque<>();
    private int running;
    private long confirmations;

    PlainService(EventLoop loop, TargetOptions options, Function<Call, Execution> ledger) {
        this.loop = loop;
        this.options = options;
        this.startExecution = ledger;
    }

    @Override
    public void start(Call call) {
        if (queue.size() >= MAX_QUEUED_CALLS) {
            call.reject(429, "the queue is full");
            return;
        }
        queue.add(call);
        startQueued();
    }

    @Override
    public boolean handleControl(Exchange exchange) {
        if (!exchange.path().equals(CACHE_EVENTS_PATH)) {
            return false;
        }
        exchange.respond(200, Json.object().set("events", Json.array()));
        return true;
    }

    @Override
    public int runningCount() {
        return running;
    }

    @Override
    public int queuedCount() {
        return queue.size();
    }

    @Override
    public void addLoadFields(ObjectNode load) {
        load.put("tokensPerSecond", 0).put("cacheTokens", 0);
    }

    private void startQueued() {
        while (running < options.slots && !queue.isEmpty()) {
            Call call = queue.poll();
            running++;
            Execution execution = startExecution.apply(call);
            loop.schedule(options.delayMillis + call.fault().delayMillis(), () -> finish(call, execution));
        }
    }

    private void finish(Call call, Execution execution) {
        running--;
        confirmations++;
        execution.end(ExecutionState.WHOLE);
        ObjectNode response = Json.object()
                .put("confirmation", execution.toJson().path("target").asText() + "-" + confirmations)
                .put("reference", call.reference());
        response.set("asked", call.body());
        call.respond(response);
        startQueued();
    }
}
