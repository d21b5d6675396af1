package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Random;
import java.util.Set;

/** The kinds of streamed requests that callers of a region send. Immutable and thread safe. */
enum StreamKind {
    /** A long prompt and a long answer, the least urgent. */
    DRAFT(3.36, Urgency.LAST, 1_200, 12_200, new Prompt(5_400, 6_600, 248), new Answer(42, 0.44, 124)),
    /** A short prompt and an answer of any length. */
    QUERY(5.73, Urgency.MIDDLE, 1_500, 10_000, new Prompt(200, 630, 955), new Answer(32, 0.69, 106)),
    /** A prompt of medium length and a very short answer, the most urgent. */
    TAG(5.14, Urgency.FIRST, 2_500, 3_000, new Prompt(570, 1_800, 378), new Answer(2.5, 1.4, 10));

    private final double perEngineAndSecond;
    private final Urgency urgency;
    private final long objectiveMillis;
    private final long timeoutMillis;
    private final Prompt prompt;
    private final Answer answer;

    StreamKind(
            double perEngineASecond,
            Urgency urgency,
            long objectiveMillis,
            long timeoutMillis,
            Prompt prompt,
            Answer answer) {
        this.perEngineAndSecond = perEngineASecond;
        this.urgency = urgency;
        this.objectiveMillis = objectiveMillis;
        this.timeoutMillis = timeoutMillis;
        this.prompt = prompt;
        this.answer = answer;
    }

    double perEngineAndSecond() {
        return perEngineAndSecond;
    }

    RouteRule route() {
        return new RouteRule(
                name(),
                "a.example",
                "/" + name() + "/",
                RouteKind.STREAM,
                false,
                List.of(new WeightedService(Samples.MODEL, 1)),
                1,
                timeoutMillis,
                objectiveMillis,
                400,
                urgency.ordinal(),
                Set.of(),
                false);
    }

    /** Draws the number of tokens of an answer. */
    int drawTokens(Random random) {
        double spread = answer.spread();
        double events = answer.meanEvents() * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        return Math.max(1, (int) Math.round(SimulatedEngine.EVENT_TOKENS * Math.min(answer.maxEvents(), events)));
    }

    /** Draws the work of a request of this kind whose caller expects so many tokens. */
    Work drawWork(int hintTokens, long number, Random random) {
        int commonTokens = prompt.sharedTokens() / 3;
        List<PromptPart> parts = List.of(
                new PromptPart(name(), commonTokens),
                new PromptPart(name() + random.nextInt(prompt.subjects()), prompt.sharedTokens() - commonTokens),
                new PromptPart("own" + number, prompt.ownTokens()));
        return new Work(prompt.sharedTokens() + prompt.ownTokens(), hintTokens, parts, urgency, timeoutMillis);
    }

    private record Prompt(int sharedTokens, int ownTokens, int subjects) {}

    private record Answer(double meanEvents, double spread, int maxEvents) {}
}
