package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.route.CacheEvent;
import org.rattanplank.core.route.TargetLoad;

/**
 * Simulates a target that batches up to its number of slots, queues by priority, and caches prompt prefixes up to a
 * fixed number of tokens.
 *
 * <p>Invariant: every submitted job ends once: it completes, fails or is cancelled. Confined to one thread.
 */
final class StandInTarget {
    private static final double FULL_BATCH_SLOWDOWN = 0.3;

    final ListedHost listed;
    final int region;
    private final ServiceProfile service;
    private final int slots;
    private final VirtualScheduler scheduler;
    private final PriorityQueue<Job> queue = new PriorityQueue<>(
            Comparator.<Job>comparingInt(job -> job.priority).thenComparingLong(job -> job.number));
    private final Set<Job> running = new HashSet<>();
    private final LinkedHashMap<Long, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Long> storedPrefixes = new ArrayList<>();
    private final List<Long> removedPrefixes = new ArrayList<>();
    private long cachedTokens;
    private long cacheEventSequence;
    private long submittedJobs;
    private boolean up = true;
    private double usedSlotMillis;
    private long promptTokens;
    private long cachedPromptTokens;

    StandInTarget(
            String name,
            Location place,
            int region,
            ServiceProfile service,
            int capacityFactor,
            VirtualScheduler scheduler) {
        this.listed = new ListedHost(name, HostRole.TARGET, place, "127.0.0.1", 1, 0, service.name(), false);
        this.region = region;
        this.service = service;
        this.slots = service.slots() * capacityFactor;
        this.scheduler = scheduler;
    }

    boolean isUp() {
        return up;
    }

    /** Returns the used slot time, in milliseconds of a target of nominal size that is busy in all its slots. */
    double busyMillis() {
        return usedSlotMillis / service.slots();
    }

    long promptTokens() {
        return promptTokens;
    }

    long cachedPromptTokens() {
        return cachedPromptTokens;
    }

    TargetLoad load() {
        double rate = service.hasModelEngines() ? Deployment.TOKENS_PER_SECOND : 0;
        long cacheTokens = service.hasModelEngines() ? Deployment.CACHE_TOKENS : 0;
        return new TargetLoad(
                listed.name(),
                service.name(),
                List.of(),
                running.size(),
                queue.size(),
                slots,
                rate,
                cacheTokens,
                false,
                scheduler.nowMillis());
    }

    /** Returns the changes of the prefix cache since the previous call as one event. */
    CacheEvent nextCacheEvent() {
        CacheEvent event = new CacheEvent(listed.name(), ++cacheEventSequence, storedPrefixes, removedPrefixes);
        storedPrefixes.clear();
        removedPrefixes.clear();
        return event;
    }

    Job submit(Arrival arrival, JobListener listener) {
        Job job = new Job(submittedJobs++, arrival, listener);
        queue.add(job);
        startQueued();
        return job;
    }

    void cancel(Job job) {
        if (queue.remove(job)) {
            return;
        }
        if (running.remove(job)) {
            usedSlotMillis += scheduler.nowMillis() - job.startedMillis;
            startQueued();
        }
    }

    void fail() {
        up = false;
        List<Job> failed = new ArrayList<>(running);
        failed.addAll(queue);
        failed.sort(Comparator.comparingLong(job -> job.number));
        running.forEach(job -> usedSlotMillis += scheduler.nowMillis() - job.startedMillis);
        running.clear();
        queue.clear();
        prefixCache.clear();
        cachedTokens = 0;
        failed.forEach(job -> job.listener.failed());
    }

    void restore() {
        up = true;
        cacheEventSequence = 0;
        storedPrefixes.clear();
        removedPrefixes.clear();
    }

    private void startQueued() {
        while (running.size() < slots && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(Job job) {
        job.startedMillis = scheduler.nowMillis();
        running.add(job);
        double slowdown = 1 + FULL_BATCH_SLOWDOWN * (running.size() - 1) / slots;
        double firstTokenMillis =
                service.hasModelEngines() ? prefillMillis(job.arrival) : service.nominalServiceMillis();
        double runMillis = firstTokenMillis + 1_000 * job.arrival.outputTokens() / Deployment.TOKENS_PER_SECOND;
        long firstTokenAfterMillis = Math.round(slowdown * firstTokenMillis);
        scheduler.schedule(Math.round(slowdown * runMillis), () -> finish(job, firstTokenAfterMillis));
    }

    private void finish(Job job, long firstTokenAfterMillis) {
        if (running.remove(job)) {
            usedSlotMillis += scheduler.nowMillis() - job.startedMillis;
            job.listener.completed(job.startedMillis + firstTokenAfterMillis);
            startQueued();
        }
    }

    private double prefillMillis(Arrival arrival) {
        List<Long> prefixes = arrival.prefixes();
        int blockTokens = arrival.promptTokens() / prefixes.size();
        int cachedBlocks = 0;
        while (cachedBlocks < prefixes.size() && prefixCache.containsKey(prefixes.get(cachedBlocks))) {
            cachedBlocks++;
        }
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            if (prefixCache.put(prefixes.get(i), blockTokens) == null) {
                cachedTokens += blockTokens;
                storedPrefixes.add(prefixes.get(i));
            }
        }
        evict();
        promptTokens += arrival.promptTokens();
        cachedPromptTokens += (long) cachedBlocks * blockTokens;
        return 1_000.0 * (arrival.promptTokens() - cachedBlocks * blockTokens) / Deployment.PREFILL_TOKENS_PER_SECOND;
    }

    private void evict() {
        var eldest = prefixCache.entrySet().iterator();
        while (cachedTokens > Deployment.CACHE_TOKENS && eldest.hasNext()) {
            Map.Entry<Long, Integer> entry = eldest.next();
            cachedTokens -= entry.getValue();
            removedPrefixes.add(entry.getKey());
            eldest.remove();
        }
    }

    /** Receives the result of a job. */
    interface JobListener {
        void completed(long firstTokenMillis);

        void failed();
    }

    /** A queued or running request. Confined to one thread. */
    static final class Job {
        private final long number;
        private final Arrival arrival;
        private final int priority;
        private final JobListener listener;
        private long startedMillis;

        private Job(long number, Arrival arrival, JobListener listener) {
            this.number = number;
            this.arrival = arrival;
            this.priority = arrival.workClass().enginePriority();
            this.listener = listener;
        }
    }
}
