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
 * A model engine that batches continuously: each step gives every running request one token, and a request that has
 * ended makes room at once for the queued one with the lowest priority number.
 *
 * <p>Invariant: at most as many requests run as there are slots. Confined to the targets' thread.
 */
final class ModelEngine implements Work {
    private static final int MAX_QUEUED = 200;
    private static final int MAX_FINISHED = 2_000;
    private static final long DETACHED_MILLIS = 5_000;
    private static final String STREAMS = "/v1/streams/";
    private static final String CACHE_EVENTS = "/cache-events";

    private final EventLoop loop;
    private final TargetOptions options;
    private final Function<Call, Run> ledger;
    private final PrefixCache cache;
    private final PriorityQueue<Generation> queue =
            new PriorityQueue<>(Comparator.comparingInt(Generation::priority).thenComparingLong(Generation::arrival));
    private final Map<String, Generation> running = new LinkedHashMap<>();
    private final Map<String, Generation> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
            return size() > MAX_FINISHED;
        }
    };
    private long arrivals;
    private boolean stepping;

    ModelEngine(EventLoop loop, TargetOptions options, Function<Call, Run> ledger) {
        this.loop = loop;
        this.options = options;
        this.ledger = ledger;
        cache = new PrefixCache(loop, options);
    }

    @Override
    public void start(Call call) {
        if (queue.size() >= MAX_QUEUED) {
            call.refuse(429, "the queue is full");
            return;
        }
        Generation generation = new Generation(call, PromptPrefixes.of(call.body()), arrivals++);
        queue.add(generation);
        watchConnection(generation, call);
        fill();
    }

    @Override
    public boolean control(Exchange exchange) {
        if (exchange.path().equals(CACHE_EVENTS)) {
            long after = Long.parseLong(exchange.query("after").getOrElse("0"));
            exchange.respond(200, cache.eventsAfter(after));
            return true;
        }
        if (!exchange.path().startsWith(STREAMS)) {
            return false;
        }
        String requestId = exchange.path().substring(STREAMS.length());
        if (exchange.method().equals("DELETE")) {
            cancel(requestId);
            exchange.respond(200, Map.of("X-Request-Id", requestId), Json.object());
        } else {
            resume(exchange, requestId);
        }
        return true;
    }

    @Override
    public int running() {
        return running.size();
    }

    @Override
    public int queued() {
        return queue.size();
    }

    @Override
    public void describe(ObjectNode load) {
        load.put("tokensPerSecond", 1_000.0 / options.tokenMillis).put("cacheTokens", options.cacheTokens);
    }

    private void fill() {
        while (running.size() < options.slots && !queue.isEmpty()) {
            Generation generation = queue.poll();
            running.put(generation.requestId(), generation);
            int warmTokens = cache.use(generation.prompt());
            generation.begin(ledger.apply(generation.call()), warmTokens);
        }
        if (!stepping && !running.isEmpty()) {
            stepping = true;
            loop.after(options.tokenMillis, this::step);
        }
    }

    private void step() {
        stepping = false;
        List<Generation> batch = new ArrayList<>(running.values());
        for (Generation generation : batch) {
            generation.step(options.prefillTokensPerStep);
            if (generation.isDone()) {
                running.remove(generation.requestId());
                finished.put(generation.requestId(), generation);
            }
        }
        fill();
    }

    private void resume(Exchange exchange, String requestId) {
        Generation generation = running.getOrDefault(requestId, finished.get(requestId));
        if (generation == null) {
            exchange.respond(
                    404, Map.of("X-Request-Id", requestId), Json.object().put("error", "no such stream"));
            return;
        }
        Call call = Call.of(exchange, PlannedFault.none());
        generation.resume(call, Long.parseLong(exchange.query("from").getOrElse("0")));
        watchConnection(generation, call);
    }

    private void cancel(String requestId) {
        queue.removeIf(generation -> generation.requestId().equals(requestId));
        Generation generation = running.remove(requestId);
        if (generation != null) {
            generation.cancel();
            fill();
        }
    }

    /** Lets a broken stream go on for a while, so that it can be resumed, and then ends it. */
    private void watchConnection(Generation generation, Call call) {
        if (!generation.isStream()) {
            return;
        }
        call.exchange().whenClosed(() -> {
            if (generation.isDone() || generation.call().exchange() != call.exchange()) {
                return;
            }
            generation.detach();
            loop.after(DETACHED_MILLIS, () -> {
                if (generation.isDetached() && !generation.isDone()) {
                    cancel(generation.requestId());
                }
            });
        });
    }
}
