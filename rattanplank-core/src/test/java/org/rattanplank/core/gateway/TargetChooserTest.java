package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetChooserTest {
    private static final String DATA_CENTRE = "suva-hall";
    private static final Work DRAFT = new Work(
            12_000, 300, List.of(new PromptPart("manual", 5_000), new PromptPart("own", 7_000)), Urgency.LAST, 0);

    private static final Work OWN = new Work(7_000, 300, List.of(new PromptPart("own", 7_000)), Urgency.LAST, 0);

    private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));
    private final TargetChooser chooser = TargetChooser.of("h1", pool, new Random(1));

    private TargetChoice choose(long nowMillis) {
        return chooser.choose(Samples.MODEL_SERVICE, DRAFT, Set.of(), RegionView.complete(Set.of("h1")), nowMillis)
                .get();
    }

    /** Sends six drafts whose prompts share only the first part. */
    private static void keepBusy(GatewayTarget target) {
        for (int i = 0; i < 6; i++) {
            List<PromptPart> parts = List.of(new PromptPart("manual", 5_000), new PromptPart("own" + i, 7_000));
            target.reserve(new Work(12_000, 300, parts, Urgency.LAST, 0), 400_000, 0);
        }
    }

    @Test
    void shouldSpreadWorkWhenTargetsAreAlike() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("b", DATA_CENTRE, false, 0), 0);
        TargetChoice first = chooser.choose(Samples.MODEL_SERVICE, OWN, Set.of(), RegionView.complete(Set.of("h1")), 0)
                .get();
        first.target().reserve(OWN, 400_000, 0);

        assertTrue(!chooser.choose(Samples.MODEL_SERVICE, OWN, Set.of(), RegionView.complete(Set.of("h1")), 1)
                .get()
                .target()
                .id()
                .equals(first.target().id()));
    }

    @Test
    void shouldReturnToTheTargetThatHasThePromptCachedWhenItIsIdleAgain() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("b", DATA_CENTRE, false, 0), 0);
        GatewayTarget first = choose(0).target();
        first.release(first.reserve(DRAFT, 400_000, 0));

        assertEquals(first.id(), choose(1).target().id());
    }

    /**
     * Guards against the same prompt part being prefilled by different targets over and over. Hosts of one region get
     * requests with the same shared part; it comes about when each host chooses a target independently.
     */
    @Test
    void shouldSendASharedPartToOneTargetWhenSeveralHostsGetIt() {
        Set<String> chosen = new HashSet<>();
        for (String name : List.of("h1", "h2", "h3")) {
            TargetPool own = TargetPool.of(Set.of(DATA_CENTRE));
            for (String id : List.of("a", "b", "c", "d")) {
                own.register(Samples.target(id, DATA_CENTRE, false, 0), 0);
            }
            TargetChooser each = TargetChooser.of(name, own, new Random(name.hashCode()));
            chosen.add(each.choose(
                            Samples.MODEL_SERVICE, DRAFT, Set.of(), RegionView.complete(Set.of("h1", "h2", "h3")), 0)
                    .get()
                    .target()
                    .id());
        }

        assertEquals(1, chosen.size());
    }

    @Test
    void shouldAvoidTheAffinityTargetWhenItIsBusy() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("b", DATA_CENTRE, false, 0), 0);
        GatewayTarget affinityTarget = choose(0).target();
        keepBusy(affinityTarget);

        assertTrue(!choose(1).target().id().equals(affinityTarget.id()));
    }

    /** Guards against the largest prompts being rejected whenever streams are lagging. */
    @Test
    void shouldChargeALargePromptNoMoreThanOthersWhenStreamsAreLagging() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.find("a")
                .get()
                .updateFromHost("h2", new InFlightWork(40, PrefillBacklog.NONE, 0), new StreamStats(40, 8_000, 6));
        Work usual = new Work(12_000, 300, List.of(new PromptPart("usual", 12_000)), Urgency.LAST, 0);
        Work large = new Work(50_000, 300, List.of(new PromptPart("large", 50_000)), Urgency.LAST, 0);

        chooser.latencyModel(Samples.MODEL).recordPromptSent(12_000, Urgency.LAST);
        double chargedMillis = chooser.choose(
                        Samples.MODEL_SERVICE, usual, Set.of(), RegionView.complete(Set.of("h1")), 0)
                .get()
                .estimate()
                .delayCostMillis();
        assertTrue(chargedMillis > 0);
        assertEquals(
                chargedMillis,
                chooser.choose(Samples.MODEL_SERVICE, large, Set.of(), RegionView.complete(Set.of("h1")), 0)
                        .get()
                        .estimate()
                        .delayCostMillis(),
                1e-6);
    }

    /**
     * Guards against long streams being rejected at the engine that ends them soonest, while another engine begins them
     * in time.
     */
    @Test
    void shouldChooseAnEngineThatBeginsALongStreamInTimeWhenItWouldBeRejectedAtTheFastOne() {
        pool.register(Samples.target("slow", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("quick", DATA_CENTRE, false, 0), 0);
        pool.find("slow").get().recordEventInterval(250, 0);
        pool.find("quick").get().recordEventInterval(60, 0);
        pool.find("quick").get().reserve(new Work(100_000, 300, List.of(), Urgency.MIDDLE, 0), 400_000, 0);
        Work longStream = new Work(500, 800, List.of(), Urgency.MIDDLE, 10_000);
        RouteRule route = Samples.route("ask", "desk.example", "/a/", Set.of());

        TargetChoice choice = chooser.choose(
                        new PlacementRequest(route, Samples.MODEL_SERVICE, longStream, Set.of()),
                        RegionView.complete(Set.of("h1")),
                        1)
                .get();

        assertEquals("slow", choice.target().id());
    }

    /**
     * Guards against drafts being rejected as late where a host has not sent the shared part itself, as with many
     * hosts.
     */
    @Test
    void shouldExpectPrefillOfTheOwnPartOnlyWhenTheAffinityTargetHasTheSharedPartFromOtherHosts() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("b", DATA_CENTRE, false, 0), 0);

        assertEquals(7_000, choose(0).prefillTokens());
    }

    /**
     * Guards against a seventh of all prefilled tokens being shared parts that another engine of the region has cached.
     * The affinity target of a part is busy and its requests go to other engines; it comes about when these receive no
     * transfer source.
     */
    @Test
    void shouldUseTheAffinityTargetAsTransferSourceWhenItIsTooBusyForTheRequest() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("b", DATA_CENTRE, false, 0), 0);
        TargetChoice first = choose(0);
        assertTrue(first.transferSource().isEmpty());
        keepBusy(first.target());

        TargetChoice other = choose(1);
        assertEquals(first.target().entry(), other.transferSource().get());

        other.target().reserve(DRAFT, 400_000, 1);
        assertTrue(choose(2).transferSource().isEmpty());
    }

    /**
     * Guards against a region that prefills again what another region has cached: the peak passes from one region to the next,
     * whose engines get each shared part for the first time.
     */
    @Test
    void shouldUseAnEngineOfTheLargestOtherRegionWhenTheAffinityTargetMayLackThePrefix() {
        TargetPool regions =
                TargetPool.of(Map.of(DATA_CENTRE, "suva", "lautoka-hall", "lautoka", "labasa-hall", "labasa"), "suva");
        TargetChooser chooserOfRegion = TargetChooser.of("h1", regions, new Random(1));
        regions.register(Samples.target("own", DATA_CENTRE, false, 0), 0);
        regions.register(Samples.target("far-1", "lautoka-hall", false, 0), 0);
        regions.register(Samples.target("far-2", "lautoka-hall", false, 0), 0);
        regions.register(Samples.target("small", "labasa-hall", false, 0), 0);
        RouteRule anywhere = Samples.route("r", "desk.example", "/", Set.of());
        RouteRule homed = Samples.route("r", "desk.example", "/", Set.of("suva", "labasa"));

        TargetEntry source = choose(chooserOfRegion, anywhere).transferSource().get();
        assertEquals("lautoka-hall", source.dataCentre());
        assertEquals(source, choose(chooserOfRegion, anywhere).transferSource().get());
        assertEquals(
                "small", choose(chooserOfRegion, homed).transferSource().get().id());
        regions.remove("small", 0);
        regions.register(Samples.target(source.id(), "lautoka-hall", true, 0), 0);
        assertTrue(choose(chooserOfRegion, homed).transferSource().isEmpty());
        assertTrue(!source.equals(
                choose(chooserOfRegion, anywhere).transferSource().get()));

        TargetChoice choice = choose(chooserOfRegion, anywhere);
        choice.target().reserve(DRAFT, 400_000, 1);
        assertTrue(choose(chooserOfRegion, anywhere).transferSource().isEmpty());
    }

    private static TargetChoice choose(TargetChooser chooserOfRegion, RouteRule route) {
        PlacementRequest request = new PlacementRequest(route, Samples.MODEL_SERVICE, DRAFT, Set.of());
        return chooserOfRegion
                .choose(request, RegionView.complete(Set.of("h1")), 1)
                .get();
    }

    @Test
    void shouldUseNoTransferSourceWhenTransfersAreSwitchedOff() {
        Mechanisms mechanisms = new Mechanisms(Set.of(Mechanism.COPY_PARTS));
        TargetChooser withoutTransfers = TargetChooser.of("h1", pool, new Random(1), mechanisms);
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("b", DATA_CENTRE, false, 0), 0);
        GatewayTarget affinityTarget = choose(0).target();
        keepBusy(affinityTarget);

        TargetChoice other = withoutTransfers
                .choose(Samples.MODEL_SERVICE, DRAFT, Set.of(), RegionView.complete(Set.of("h1")), 1)
                .get();

        assertTrue(other.target() != affinityTarget);
        assertTrue(other.transferSource().isEmpty());
    }

    /**
     * Guards against long streams that reach their time-out without their last events while other engines are idle. One
     * engine prefills many prompts, so that its streams are slow, and a long stream is sent there; it comes about when
     * only the time to the first event is considered.
     */
    @Test
    void shouldSendALongStreamToAnEngineThatEndsItInTimeWhenAnotherBeginsItSooner() {
        pool.register(Samples.target("slow", DATA_CENTRE, false, 0), 0);
        pool.register(Samples.target("quick", DATA_CENTRE, false, 0), 0);
        pool.find("slow").get().recordEventInterval(250, 0);
        pool.find("quick").get().recordEventInterval(60, 0);
        pool.find("quick").get().reserve(OWN, 400_000, 0);
        Work longStream = new Work(500, 800, List.of(), Urgency.MIDDLE, 10_000);

        TargetChoice choice = chooser.choose(
                        Samples.MODEL_SERVICE, longStream, Set.of(), RegionView.complete(Set.of("h1")), 1)
                .get();

        assertEquals("quick", choice.target().id());
    }

    /**
     * Guards against requests being rejected while targets are idle. All targets of a service fail half of their
     * requests, and each is ejected after four failures in a row; it comes about when ejection continues until none is
     * left.
     */
    @Test
    void shouldContinueSendingWhenAllTargetsFailAlike() {
        for (String id : List.of("a", "b", "c")) {
            pool.register(Samples.target(id, DATA_CENTRE, false, 0), 0);
            for (int i = 0; i < TargetHealth.MAX_CONSECUTIVE_FAILURES; i++) {
                pool.find(id).get().recordFailure(0);
            }
        }

        assertEquals(3, choose(1).candidates());
    }

    @Test
    void shouldEjectAFailingTargetWhenMostOthersAreHealthy() {
        for (String id : List.of("a", "b", "c")) {
            pool.register(Samples.target(id, DATA_CENTRE, false, 0), 0);
        }
        for (int i = 0; i < TargetHealth.MAX_CONSECUTIVE_FAILURES; i++) {
            pool.find("a").get().recordFailure(0);
        }

        assertEquals(2, choose(1).candidates());
    }

    @Test
    void shouldNotSendToAnUnreachableTargetWhenItIsTheOnlyOne() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.find("a").get().recordUnreachable(0);

        assertTrue(chooser.choose(Samples.MODEL_SERVICE, DRAFT, Set.of(), RegionView.complete(Set.of("h1")), 1)
                .isEmpty());
    }

    /**
     * Guards against a target that has just started crashing when all hosts start at once. Each host has read the store
     * and is not yet connected to the others, or to only some of them; it comes about when each considers itself the
     * only host and so the one assigned to the target.
     */
    @Property(tries = 100)
    void shouldSendAColdTargetNothingWhenHostsMayNotKnowAllOthers(
            @ForAll @IntRange(min = 1, max = 90) int hosts, @ForAll @IntRange(min = 1, max = 90) int seen) {
        for (int i = 0; i < hosts; i++) {
            String name = "host-" + i;
            Set<String> view = new HashSet<>(Set.of(name));
            for (int j = 0; j < Math.min(seen, hosts); j++) {
                view.add("host-" + (i + j) % hosts);
            }
            TargetPool own = TargetPool.of(Set.of(DATA_CENTRE));
            own.register(Samples.target("cold", DATA_CENTRE, false, 3_000), 0);
            TargetChooser each = TargetChooser.of(name, own, new Random(2));

            assertTrue(each.choose(Samples.MODEL_SERVICE, Work.PLAIN, Set.of(), new RegionView(view, false), 10)
                    .isEmpty());
        }
    }

    @Test
    void shouldChooseNothingWhenAllTargetsAreExcluded() {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);

        assertTrue(chooser.choose(Samples.MODEL_SERVICE, DRAFT, Set.of("a"), RegionView.complete(Set.of("h1")), 0)
                .isEmpty());
    }

    /**
     * Guards against a target that has just started crashing repeatedly. It comes about when every host sends it as
     * much as it sustains in total, as no host is assigned to it; here each of any number of hosts with the same
     * members tries to warm it up.
     */
    @Property(tries = 100)
    void shouldSendAColdTargetNoMoreThanItSustainsWhenAnyNumberOfHostsTry(
            @ForAll @IntRange(min = 1, max = 90) int hosts) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            names.add("host-" + i);
        }
        int sent = 0;
        for (String name : names) {
            TargetPool own = TargetPool.of(Set.of(DATA_CENTRE));
            own.register(Samples.target("cold", DATA_CENTRE, false, 3_000), 0);
            TargetChooser each = TargetChooser.of(name, own, new Random(2));
            for (int i = 0; i < 20; i++) {
                sent += each.choose(
                                Samples.MODEL_SERVICE, Work.PLAIN, Set.of(), RegionView.complete(Set.copyOf(names)), 10)
                        .map(choice -> {
                            choice.target().reserve(Work.PLAIN, 0, 10);
                            return 1;
                        })
                        .getOrElse(0);
            }
        }

        assertEquals((int) Samples.MODEL_SERVICE.coldRequestsPerSecond(), sent);
    }
}
