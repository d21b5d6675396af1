package org.rattanplank.core.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.RendezvousHashing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how running streams may affect other requests. */
class EngineStreamCostsTest {
    private static final String DATA_CENTRE = "suva-hall";
    private static final RegionView HOSTS = RegionView.complete(Set.of("h1"));
    private static final Work LONG_STREAM = new Work(500, 800, List.of(), Urgency.MIDDLE, 10_000);

    private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));
    private final TargetChooser chooser = TargetChooser.of("h1", pool, new Random(1));

    private static Work prompt(int tokens, Urgency urgency) {
        return new Work(tokens, 20, List.of(), urgency, 10_000);
    }

    private GatewayTarget engine(String id) {
        pool.register(Samples.target(id, DATA_CENTRE, false, 0), 0);
        return pool.find(id).get();
    }

    private static void report(GatewayTarget engine, int requests, int pendingTokens, StreamStats stats) {
        engine.updateFromHost(
                "h2", new InFlightWork(requests, PrefillBacklog.of(Urgency.FIRST, pendingTokens), 0), stats);
    }

    private Placement placement(Work work, long objectiveMillis) {
        RouteRule route = new RouteRule(
                "ask",
                "desk.example",
                "/a/",
                RouteKind.STREAM,
                true,
                List.of(new WeightedService(Samples.MODEL, 1)),
                2,
                10_000,
                objectiveMillis,
                400,
                work.urgency().ordinal(),
                Set.of(),
                false);
        ClusterView clusterView = new ClusterView("suva", HOSTS, Map.of(), Set.of());
        return Placement.of(
                new PlacementRequest(route, Samples.MODEL_SERVICE, work, Set.of()),
                clusterView,
                chooser,
                new RegionLoads(),
                Mechanisms.ALL,
                1);
    }

    /** Guards against urgent requests being rejected for less urgent streams, at engines with free slots. */
    @Test
    void shouldAcceptAnUrgentRequestWhenNothingWaitsAndMostSlotsAreFree() {
        report(engine("a"), 20, 0, new StreamStats(20, 20 * 150.0, 20));

        assertFalse(placement(prompt(2_000, Urgency.FIRST), 300).shouldReject());
    }

    /** Guards against rejections while less than half of the slots are in use and no prefill is pending. */
    @Test
    void shouldAcceptADraftWhenNothingWaitsAndMostSlotsAreFree() {
        report(engine("a"), 25, 0, new StreamStats(25, 25 * 150.0, 25));

        assertFalse(placement(prompt(6_600, Urgency.LAST), 1_200).shouldReject());
    }

    /** Guards against rejections while reserved engines are idle. */
    @Test
    void shouldAcceptADraftWhenAReservedEngineIsIdle() {
        for (String id : List.of("a", "b", "c", "d")) {
            engine(id);
        }
        long hash = RendezvousHashing.hash(Samples.MODEL);
        GatewayTarget first = pool.all().stream()
                .min(Comparator.comparingLong(each -> each.affinityScore(hash)))
                .get();
        for (GatewayTarget each : pool.all()) {
            if (each != first) {
                report(each, 30, 32_500, new StreamStats(26, 26 * 150.0, 4));
            }
        }

        assertFalse(placement(prompt(6_600, Urgency.LAST), 1_200).shouldReject());
    }

    /** Guards against two equal regions that forward their long streams to each other. */
    @Test
    void shouldServeALongStreamLocallyWhenTheOtherRegionIsEqual() {
        for (String id : List.of("a", "b", "c", "d")) {
            GatewayTarget each = engine(id);
            if (!id.equals("d")) {
                report(each, 20, 0, new StreamStats(20, 20 * 150.0, 0));
            }
        }
        RegionLoads loads = new RegionLoads();
        loads.update("labasa", Samples.MODEL, Urgency.MIDDLE, 40, 0.005, 3_000);
        loads.update("labasa", Samples.MODEL, chooser.streamStats(Samples.MODEL_SERVICE, HOSTS, 1));
        ClusterView clusterView = new ClusterView("suva", HOSTS, Map.of("labasa", 160.0), Set.of());
        RouteRule route = Samples.route("ask", "desk.example", "/a/", Set.of());
        Placement placement = Placement.of(
                new PlacementRequest(route, Samples.MODEL_SERVICE, LONG_STREAM, Set.of()),
                clusterView,
                chooser,
                loads,
                Mechanisms.ALL,
                1);

        assertEquals(Option.none(), placement.forwardRegion());
    }

    /** Guards against long streams that overload a busy engine while another one has none. */
    @Test
    void shouldSendALongStreamToAnIdleEngineWhenOthersHaveStreams() {
        report(engine("a"), 40, 0, new StreamStats(40, 40 * 110.0, 0));
        report(engine("b"), 40, 0, new StreamStats(40, 40 * 250.0, 0));
        engine("c");

        assertEquals(
                "c", placement(LONG_STREAM, 1_000).localChoice().get().target().id());
    }

    /** Guards against a negative number of tokens to prefill, as a caller's counts are inconsistent. */
    @Test
    void shouldNeverExpectNegativePrefillWhenThePartsAreLargerThanThePrompt() {
        engine("a");
        List<PromptPart> parts = List.of(new PromptPart("manual", 80_000), new PromptPart("own", 10));
        TargetChoice choice = placement(new Work(100, 80, parts, Urgency.MIDDLE, 10_000), 1_000)
                .localChoice()
                .get();

        assertTrue(choice.prefillTokens() >= 0, choice::toString);
    }
}
