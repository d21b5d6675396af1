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
 * Stands in for a target: it batches up to its slots, queues by priority, and caches prompt prefixes in bounded memory.
 *
 * <p>Invariant: every job that it takes ends once, by its end, its failure or its cancellation. Confined to one thread.
 */
final class StandInTarget {
    private static final double FULL_BATCH_SLOWDOWN = 0.3;

    final ListedHost listed;
    final int region;
    private final ServiceShape service;
    private final int slots;
    private final VirtualTime time;
    private final PriorityQueue<Job> queue = new PriorityQueue<>(
            Comparator.<Job>comparingInt(job -> job.priority).thenComparingLong(job -> job.number));
    private final Set<Job> running = new HashSet<>();
    private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Long> stored = new ArrayList<>();
    private final List<Long> removed = new ArrayList<>();
    private long cachedTokens;
    private long sequence;
    private long jobs;
    private boolean up = true;
    private double slotMillis;
    private long promptTokens;
    private long hitTokens;

    StandInTarget(String name, Location place, int region, ServiceShape service, int capacityFactor, VirtualTime time) {
        this.listed = new ListedHost(name, HostRole.TARGET, place, "127.0.0.1", 1, 0, service.name(), false);
        this.region = region;
        this.service = service;
        this.slots = service.slots() * capacityFactor;
        this.time = time;
    }

    boolean isUp() {
        return up;
    }

    /** Slot time used, in units of a target of usual size that is busy in all its slots. */
    double busyMillis() {
        return slotMillis / service.slots();
    }

    long promptTokens() {
        return promptTokens;
    }

    long hitTokens() {
        return hitTokens;
    }

    TargetLoad load() {
        double rate = service.model() ? Deployment.TOKENS_PER_SECOND : 0;
        long cacheTokens = service.model() ? Deployment.CACHE_TOKENS : 0;
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
                time.nowMillis());
    }

    /** Takes the cache changes since the last call as one event. */
    CacheEvent cacheEvent() {
        CacheEvent event = new CacheEvent(listed.name(), ++sequence, stored, removed);
        stored.clear();
        removed.clear();
        return event;
    }

    Job take(Arrival arrival, JobEnd end) {
        Job job = new Job(jobs++, arrival, end);
        queue.add(job);
        startNext();
        return job;
    }

    void cancel(Job job) {
        if (queue.remove(job)) {
            return;
        }
        if (running.remove(job)) {
            slotMillis += time.nowMillis() - job.startedMillis;
            startNext();
        }
    }

    void fail() {
        up = false;
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(queue);
        lost.sort(Comparator.comparingLong(job -> job.number));
        running.forEach(job -> slotMillis += time.nowMillis() - job.startedMillis);
        running.clear();
        queue.clear();
        cache.clear();
        cachedTokens = 0;
        lost.forEach(job -> job.end.lost());
    }

    void restore() {
        up = true;
        sequence = 0;
        stored.clear();
        removed.clear();
    }

    private void startNext() {
        while (running.size() < slots && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(Job job) {
        job.startedMillis = time.nowMillis();
        running.add(job);
        double slowdown = 1 + FULL_BATCH_SLOWDOWN * (running.size() - 1) / slots;
        double firstMillis = service.model() ? prefillMillis(job.arrival) : service.nominalRunMillis();
        double runMillis = firstMillis + 1_000 * job.arrival.outputTokens() / Deployment.TOKENS_PER_SECOND;
        long firstAt = Math.round(slowdown * firstMillis);
        time.after(Math.round(slowdown * runMillis), () -> finish(job, firstAt));
    }

    private void finish(Job job, long firstAfterMillis) {
        if (running.remove(job)) {
            slotMillis += time.nowMillis() - job.startedMillis;
            job.end.answered(job.startedMillis + firstAfterMillis);
            startNext();
        }
    }

    private double prefillMillis(Arrival arrival) {
        List<Long> prefixes = arrival.prefixes();
        int block = arrival.promptTokens() / prefixes.size();
        int hits = 0;
        while (hits < prefixes.size() && cache.containsKey(prefixes.get(hits))) {
            hits++;
        }
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            if (cache.put(prefixes.get(i), block) == null) {
                cachedTokens += block;
                stored.add(prefixes.get(i));
            }
        }
        evict();
        promptTokens += arrival.promptTokens();
        hitTokens += (long) hits * block;
        return 1_000.0 * (arrival.promptTokens() - hits * block) / Deployment.PREFILL_TOKENS_PER_SECOND;
    }

    private void evict() {
        var eldest = cache.entrySet().iterator();
        while (cachedTokens > Deployment.CACHE_TOKENS && eldest.hasNext()) {
            Map.Entry<Long, Integer> entry = eldest.next();
            cachedTokens -= entry.getValue();
            removed.add(entry.getKey());
            eldest.remove();
        }
    }

    /** How a job ends for whoever sent it. */
    interface JobEnd {
        void answered(long firstTokenMillis);

        void lost();
    }

    /** A request that waits or runs at the target. Confined to one thread. */
    static final class Job {
        private final long number;
        private final Arrival arrival;
        private final int priority;
        private final JobEnd end;
        private long startedMillis;

        private Job(long number, Arrival arrival, JobEnd end) {
            this.number = number;
            this.arrival = arrival;
            this.priority = arrival.workClass().enginePriority();
            this.end = end;
        }
    }
}
