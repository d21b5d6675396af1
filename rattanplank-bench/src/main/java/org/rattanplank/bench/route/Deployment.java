package org.rattanplank.bench.route;

import java.util.List;

import org.rattanplank.core.request.WorkClass;
import org.rattanplank.core.route.Policy;

/** The simulated deployments: their regions, services, workload and the policy that the product uses there. */
enum Deployment {
    KORO(
            Policy.COST,
            List.of("suva", "lautoka", "labasa"),
            new ServiceProfile("plank-serve", true, new int[] {3, 2, 2}, 8, 6_500),
            new ServiceProfile("crew-desk", false, new int[] {1, 1, 1}, 4, 120),
            125,
            new PromptPrefixes(24, 6),
            List.of(
                    new WorkProfile(WorkClass.DRAFT, 0.6, 6_000, 500, 60_000),
                    new WorkProfile(WorkClass.INTERACTIVE, 0.3, 6_000, 120, 12_000),
                    new WorkProfile(WorkClass.BACKGROUND, 0.1, 600, 40, 90_000))),
    BRAZOS(
            Policy.TAIL,
            List.of("gulf", "north", "west"),
            new ServiceProfile("quote-writer", true, new int[] {2, 2, 2}, 8, 4_800),
            new ServiceProfile("fleet-desk", false, new int[] {1, 1, 1}, 4, 120),
            100,
            new PromptPrefixes(30, 3),
            List.of(
                    new WorkProfile(WorkClass.INTERACTIVE, 0.7, 1_500, 160, 12_000),
                    new WorkProfile(WorkClass.DRAFT, 0.3, 1_500, 600, 60_000)));

    /** The decode rate of one request on an idle model engine. */
    static final double TOKENS_PER_SECOND = 40;

    /** The prefill rate of an engine; deliberately not in the ratio to the decode rate that the router assumes. */
    static final double PREFILL_TOKENS_PER_SECOND = 1_600;

    /** The capacity of an engine's prefix cache. */
    static final int CACHE_TOKENS = 45_000;

    final Policy policy;
    final List<String> regions;
    final ServiceProfile model;
    final ServiceProfile plain;
    final long interRegionDelayMillis;
    final PromptPrefixes prefixes;
    final List<WorkProfile> work;

    Deployment(
            Policy policy,
            List<String> regions,
            ServiceProfile model,
            ServiceProfile plain,
            long interRegionDelayMillis,
            PromptPrefixes prefixes,
            List<WorkProfile> work) {
        this.policy = policy;
        this.regions = regions;
        this.model = model;
        this.plain = plain;
        this.interRegionDelayMillis = interRegionDelayMillis;
        this.prefixes = prefixes;
        this.work = work;
    }

    /**
     * A kind of requests to model engines. Immutable and thread safe.
     *
     * @param workClass the work class
     * @param share the share of all requests to model engines
     * @param promptTokens the length of the prompts
     * @param maxTokens the maximum number of output tokens; responses have half of it on average
     * @param maxWaitMillis the time after which callers give up waiting
     */
    record WorkProfile(WorkClass workClass, double share, int promptTokens, int maxTokens, long maxWaitMillis) {}

    /**
     * The shared prefixes of prompts. Immutable and thread safe.
     *
     * @param documentsPerRegion the number of manuals or templates with which the prompts of a region begin
     * @param blocksPerPrompt the number of blocks of a prompt; all but the last are shared
     */
    record PromptPrefixes(int documentsPerRegion, int blocksPerPrompt) {}
}
