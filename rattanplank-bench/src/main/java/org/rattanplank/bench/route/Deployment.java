package org.rattanplank.bench.route;

import java.util.List;

import org.rattanplank.core.request.WorkClass;
import org.rattanplank.core.route.Policy;

/** The two deployments of the measurement: their places, services, work and the policy that the product uses there. */
enum Deployment {
    KORO(
            Policy.COST,
            List.of("suva", "lautoka", "labasa"),
            new ServiceShape("plank-serve", true, new int[] {3, 2, 2}, 8, 6_500),
            new ServiceShape("crew-desk", false, new int[] {1, 1, 1}, 4, 120),
            125,
            new Prefixes(24, 6),
            List.of(
                    new Work(WorkClass.DRAFT, 0.6, 6_000, 500, 60_000),
                    new Work(WorkClass.INTERACTIVE, 0.3, 6_000, 120, 12_000),
                    new Work(WorkClass.BACKGROUND, 0.1, 600, 40, 90_000))),
    BRAZOS(
            Policy.TAIL,
            List.of("gulf", "north", "west"),
            new ServiceShape("quote-writer", true, new int[] {2, 2, 2}, 8, 4_800),
            new ServiceShape("fleet-desk", false, new int[] {1, 1, 1}, 4, 120),
            100,
            new Prefixes(30, 3),
            List.of(
                    new Work(WorkClass.INTERACTIVE, 0.7, 1_500, 160, 12_000),
                    new Work(WorkClass.DRAFT, 0.3, 1_500, 600, 60_000)));

    /** The generation rate of one request on an idle model engine. */
    static final double TOKENS_PER_SECOND = 40;

    /** How fast an engine reads a prompt; on purpose not the ratio that the router assumes. */
    static final double PREFILL_TOKENS_PER_SECOND = 1_600;

    /** How many prompt tokens an engine's prefix cache holds. */
    static final int CACHE_TOKENS = 45_000;

    final Policy policy;
    final List<String> regions;
    final ServiceShape model;
    final ServiceShape plain;
    final long crossingMillis;
    final Prefixes prefixes;
    final List<Work> work;

    Deployment(
            Policy policy,
            List<String> regions,
            ServiceShape model,
            ServiceShape plain,
            long crossingMillis,
            Prefixes prefixes,
            List<Work> work) {
        this.policy = policy;
        this.regions = regions;
        this.model = model;
        this.plain = plain;
        this.crossingMillis = crossingMillis;
        this.prefixes = prefixes;
        this.work = work;
    }

    /**
     * One kind of model work. Immutable and thread safe.
     *
     * @param workClass its class
     * @param part its part of all model work
     * @param promptTokens the length of its prompts
     * @param maxTokens the largest number of tokens that callers allow; the answers have half of it on average
     * @param patienceMillis how long callers wait
     */
    record Work(WorkClass workClass, double part, int promptTokens, int maxTokens, long patienceMillis) {}

    /**
     * What prompts have in common. Immutable and thread safe.
     *
     * @param byRegion how many manuals or templates each region's prompts begin with
     * @param blocks into how many blocks a prompt is cut; all but the last are shared
     */
    record Prefixes(int byRegion, int blocks) {}
}
