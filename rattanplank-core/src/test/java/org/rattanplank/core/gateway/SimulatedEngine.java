package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Simulates a model engine that works in steps: each step generates one token of each running stream and prefills at
 * most one chunk of waiting prompts, the most urgent first, so that prefill slows down the streams beside it.
 *
 * <p>Invariant: a generation ends once, by its last token or by cancellation. Confined to one thread.
 */
final class SimulatedEngine {
    static final int EVENT_TOKENS = 9;
    static final int SLOTS = 64;

    private static final double STEP_MILLIS = 3.1;
    private static final double MILLIS_PER_RUNNING_STREAM = 0.1;
    private static final double PREFILL_TOKENS_PER_MILLI = 57;
    private static final int CHUNK_TOKENS = 1_024;
    private static final long CACHE_TOKENS = 200_000;

    /** The tokens of a stream that its backup lacks: those generated since the last copy. */
    private static final int UNCOPIED_TOKENS = 50;

    private final VirtualTime time;
    private final PriorityQueue<Generation> waiting =
            new PriorityQueue<>(Comparator.<Generation, Boolean>comparing(generation -> !generation.hasBackup)
                    .thenComparingInt(generation -> generation.work.urgency().level())
                    .thenComparingLong(generation -> generation.number));
    private final List<Generation> running = new ArrayList<>();
    private final LinkedHashMap<String, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);
    private long cachedTokens;
    private long submitted;
    private boolean busy;
    private boolean crashed;

    SimulatedEngine(VirtualTime time) {
        this.time = time;
    }

    Generation submit(Work work, int tokens, SimulatedEngine transferSource, Listener listener) {
        Generation generation = new Generation(submitted++, work, tokens, listener, false);
        generation.pendingPrefillTokens = Math.max(
                1, work.promptTokens() - Math.max(cachedTokens(work), transferableTokens(work, transferSource)));
        waiting.add(generation);
        cacheParts(work);
        if (!busy) {
            step();
        }
        return generation;
    }

    /** Continues a stream whose backup is here: it is admitted first and prefills only what had not arrived yet. */
    Generation continueFromBackup(Work work, int tokens, Listener listener) {
        Generation generation = new Generation(submitted++, work, tokens, listener, true);
        generation.pendingPrefillTokens = UNCOPIED_TOKENS;
        waiting.add(generation);
        if (!busy) {
            step();
        }
        return generation;
    }

    /** Loses all requests, and reports each as lost. */
    void crash() {
        crashed = true;
        List<Generation> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(generation -> generation.listener.onLost(generation.generatedTokens));
    }

    void cancel(Generation generation) {
        waiting.remove(generation);
        running.remove(generation);
    }

    private static int transferableTokens(Work work, SimulatedEngine transferSource) {
        return transferSource == null ? 0 : Math.min(work.sharedTokens(), transferSource.cachedTokens(work));
    }

    private int cachedTokens(Work work) {
        int cached = 0;
        for (PromptPart part : work.promptParts()) {
            if (!cache.containsKey(part.id())) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    private void cacheParts(Work work) {
        for (PromptPart part : work.sharedParts()) {
            if (cache.put(part.id(), part.tokens()) == null) {
                cachedTokens += part.tokens();
            }
        }
        Iterator<Map.Entry<String, Integer>> eldest = cache.entrySet().iterator();
        while (cachedTokens > CACHE_TOKENS && eldest.hasNext()) {
            cachedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private void step() {
        busy = !crashed && (!running.isEmpty() || !waiting.isEmpty());
        if (!busy) {
            return;
        }
        List<Generation> decoding = new ArrayList<>(running);
        List<Generation> starting = new ArrayList<>();
        int prefillTokens = 0;
        while (prefillTokens < CHUNK_TOKENS && !waiting.isEmpty() && running.size() + starting.size() < SLOTS) {
            Generation next = waiting.peek();
            int tokens = Math.min(next.pendingPrefillTokens, CHUNK_TOKENS - prefillTokens);
            next.pendingPrefillTokens -= tokens;
            prefillTokens += tokens;
            if (next.pendingPrefillTokens > 0) {
                break;
            }
            waiting.poll();
            starting.add(next);
        }
        double millis =
                STEP_MILLIS + MILLIS_PER_RUNNING_STREAM * decoding.size() + prefillTokens / PREFILL_TOKENS_PER_MILLI;
        time.after(millis, () -> {
            if (crashed) {
                starting.forEach(generation -> generation.listener.onLost(0));
                return;
            }
            running.addAll(starting);
            decoding.addAll(starting);
            decoding.forEach(this::generateToken);
            step();
        });
    }

    private void generateToken(Generation generation) {
        if (!running.contains(generation)) {
            return;
        }
        generation.generatedTokens++;
        boolean isLast = generation.generatedTokens >= generation.tokens;
        if (isLast) {
            running.remove(generation);
        }
        if (isLast || generation.generatedTokens % EVENT_TOKENS == 0 || generation.generatedTokens == 1) {
            generation.listener.onEvent(isLast);
        }
    }

    /** Receives the events of a generation. */
    interface Listener {
        void onEvent(boolean last);

        void onLost(int generatedTokens);
    }

    /** One request at the engine. Confined to one thread. */
    static final class Generation {
        private final long number;
        private final Work work;
        private final int tokens;
        private final Listener listener;
        private final boolean hasBackup;
        private int pendingPrefillTokens;
        private int generatedTokens;

        private Generation(long number, Work work, int tokens, Listener listener, boolean hasBackup) {
            this.hasBackup = hasBackup;
            this.number = number;
            this.work = work;
            this.tokens = tokens;
            this.listener = listener;
        }
    }
}
