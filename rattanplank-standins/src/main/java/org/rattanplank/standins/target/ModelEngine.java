package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * A model engine with continuous batching: each step gives every running request one token, and the slot of a finished
 * request goes at once to the queued request with the lowest priority number.
 *
 * <p>Invariant: the number of running requests never exceeds the number of slots. Confined to the targets' thread.
 */
final class ModelEngine implements RequestExecutor {
    private static final int MAX_QUEUED_REQUESTS = 200;
    private static final int MAX_FINISHED_REQUESTS = 2_000;
    private static final long DETACHED_STREAM_TIMEOUT_MILLIS = 5_000;
    private static final String STREAMS_PREFIX = "/v1/streams/";
    private static final String CACHE_EVENTS_PATH = "/cache-events";

    private final EventLoop loop;
    private final TargetOptions options;
    private final Function<Call, Execution> startExecution;
    private final PrefixCache cache;
    private final PriorityQueue<EngineRequest> queue = new PriorityQueue<>(
            Comparator.comparingInt(EngineRequest::priority).thenComparingLong(EngineRequest::arrivalNumber));
    private final Map<String, EngineRequest> running = new LinkedHashMap<>();
    private final Map<String, EngineRequest> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EngineRequest> eldest) {
            return size() > MAX_FINISHED_REQUESTS;
        }
    };
    private long nextArrivalNumber;
    private boolean stepScheduled;

    ModelEngine(EventLoop loop, TargetOptions options, Function<Call, Execution> ledger) {
        this.loop = loop;
        this.options = options;
        this.startExecution = ledger;
        cache = new PrefixCache(loop, options);
    }

    @Override
    public void start(Call call) {
        if (queue.size() >= MAX_QUEUED_REQUESTS) {
            call.reject(429, "the queue is full");
            return;
        }
        EngineRequest request = new EngineRequest(call, PromptPrefixes.of(call.body()), nextArrivalNumber++);
        queue.add(request);
        watchConnection(request, call);
        startQueued();
    }

    @Override
    public boolean handleControl(Exchange exchange) {
        if (exchange.path().equals(CACHE_EVENTS_PATH)) {
            long after = Long.parseLong(exchange.query("after").getOrElse("0"));
            exchange.respond(200, cache.eventsAfter(after));
            return true;
        }
        if (!exchange.path().startsWith(STREAMS_PREFIX)) {
            return false;
        }
        String requestId = exchange.path().substring(STREAMS_PREFIX.length());
        if (exchange.method().equals("DELETE")) {
            cancel(requestId);
            exchange.respond(200, Map.of("X-Request-Id", requestId), Json.object());
        } else {
            resume(exchange, requestId);
        }
        return true;
    }

    @Override
    public int runningCount() {
        return running.size();
    }

    @Override
    public int queuedCount() {
        return queue.size();
    }

    @Override
    public void addLoadFields(ObjectNode load) {
        load.put("tokensPerSecond", 1_000.0 / options.tokenMillis).put("cacheTokens", options.cacheTokens);
    }

    private void startQueued() {
        while (running.size() < options.slots && !queue.isEmpty()) {
            EngineRequest request = queue.poll();
            running.put(request.requestId(), request);
            int cachedTokens = cache.lookupAndInsert(request.prompt());
            request.start(startExecution.apply(request.call()), cachedTokens);
        }
        if (!stepScheduled && !running.isEmpty()) {
            stepScheduled = true;
            loop.schedule(options.tokenMillis, this::step);
        }
    }

    private void step() {
        stepScheduled = false;
        List<EngineRequest> batch = new ArrayList<>(running.values());
        for (EngineRequest request : batch) {
            request.step(options.prefillTokensPerStep);
            if (request.isDone()) {
                running.remove(request.requestId());
                finished.put(request.requestId(), request);
            }
        }
        startQueued();
    }

    private void resume(Exchange exchange, String requestId) {
        EngineRequest request = running.getOrDefault(requestId, finished.get(requestId));
        if (request == null) {
            exchange.respond(
                    404, Map.of("X-Request-Id", requestId), Json.object().put("error", "no such stream"));
            return;
        }
        Call call = Call.of(exchange, PlannedFault.none());
        request.resume(call, Long.parseLong(exchange.query("from").getOrElse("0")));
        watchConnection(request, call);
    }

    private void cancel(String requestId) {
        queue.removeIf(request -> request.requestId().equals(requestId));
        EngineRequest request = running.remove(requestId);
        if (request != null) {
            request.cancel();
            startQueued();
        }
    }

    /** Continues a stream after its connection closed, so that it can be resumed; cancels it after a time-out. */
    private void watchConnection(EngineRequest request, Call call) {
        if (!request.isStream()) {
            return;
        }
        call.exchange().onClose(() -> {
            if (request.isDone() || request.call().exchange() != call.exchange()) {
                return;
            }
            request.detach();
            loop.schedule(DETACHED_STREAM_TIMEOUT_MILLIS, () -> {
                if (request.isDetached() && !request.isDone()) {
                    cancel(request.requestId());
                }
            });
        });
    }
}
