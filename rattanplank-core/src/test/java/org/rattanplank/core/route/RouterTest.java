package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.request.WorkClass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RouterTest {
    private static final List<Long> PREFIXES = List.of(11L, 12L, 13L);

    @Nested
    class Choose {
        @Test
        void shouldReuseTargetWhenPrefixIsCached() {
            Router router = Fixtures.router(20);
            Request first = Fixtures.request("a", "floor", WorkClass.DRAFT, 60_000, PREFIXES);
            Route route = Fixtures.serve(router, first, Fixtures.ANSWERED, 1_000, 10);
            for (int i = 0; i < 10; i++) {
                Request next = Fixtures.request("b" + i, "floor", WorkClass.DRAFT, 60_000, PREFIXES);
                assertEquals(route, Fixtures.serve(router, next, Fixtures.ANSWERED, 1_000, 2_000 + i));
            }
        }

        @Test
        void shouldSpreadPopularPrefixWhenItsTargetIsFull() {
            Router router = Fixtures.router(4);
            for (int i = 0; i < 10; i++) {
                Fixtures.serve(router, Fixtures.request("l" + i), Fixtures.ANSWERED, 4_000, 10 + i);
            }
            Map<String, Integer> loads = new TreeMap<>();
            for (int i = 0; i < 32; i++) {
                Request request = Fixtures.request("r" + i, "floor", WorkClass.DRAFT, 60_000, PREFIXES);
                RoutingDecision.Dispatch dispatch = chooseRoute(router, request, 5_000);
                router.recordStart(request, dispatch.route(), 5_000);
                loads.merge(dispatch.route().peer(), 1, Integer::sum);
            }
            assertTrue(loads.size() > 2, "the first two in rendezvous order alone would have 16 each: " + loads);
            assertTrue(loads.values().stream().allMatch(load -> load <= 1.5 * (8 + 1)), "bounded load: " + loads);
        }

        /**
         * Guards against sending all requests to one target while its load report is outdated. A report shows a target
         * as idle, the next report is late, and every request picks that target unless the own requests since the
         * report are counted.
         */
        @Test
        void shouldCountOwnRequestsWhenReportsAreLate() {
            Router router = Fixtures.router(2);
            router.recordLoadReport(Fixtures.load("t1", 7, 100), 100);
            int toIdle = 0;
            for (int i = 0; i < 16; i++) {
                Request request = Fixtures.request("r" + i);
                RoutingDecision.Dispatch dispatch = chooseRoute(router, request, 200);
                router.recordStart(request, dispatch.route(), 200);
                toIdle += dispatch.route().peer().equals("t0") ? 1 : 0;
            }
            assertTrue(toIdle >= 9 && toIdle <= 14, "sent to the idle target: " + toIdle);
        }

        /** Guards against requests to a target that has requested a pause, also if it is the last resort, or asks for less later. */
        @Test
        void shouldRejectUntilThePauseEndsWhenEveryTargetHasRequestedOne() {
            for (Policy policy : List.of(Policy.COST, Policy.RANDOM, Policy.LEAST_REPORTED)) {
                Router router = Fixtures.router(2, policy);
                router.recordPauseRequest("t0", 9_000, 100);
                router.recordPauseRequest("t0", 500, 110);
                for (int i = 0; i < 10; i++) {
                    assertEquals(
                            new Route.ToTarget("t1"),
                            chooseRoute(router, Fixtures.request("a" + i), 2_500)
                                    .route());
                }
                router.recordPauseRequest("t1", 60_000, 2_500);

                RoutingDecision.Reject rejection = assertInstanceOf(
                        RoutingDecision.Reject.class,
                        router.choose(Fixtures.request("r"), Fixtures.eligibleAnywhere(Set.of()), 2_600));

                assertTrue(rejection.retryAfterMillis() >= 6_500);
                assertEquals(
                        new Route.ToTarget("t0"),
                        chooseRoute(router, Fixtures.request("b"), 9_100).route());
            }
        }

        @Test
        void shouldRejectAtOnceWhenBacklogExceedsDeadline() {
            Router router = Fixtures.router(1);
            for (int i = 0; i < 10; i++) {
                Fixtures.serve(router, Fixtures.request("l" + i), Fixtures.ANSWERED, 4_000, 10 + i);
            }
            router.recordLoadReport(Fixtures.load("t0", 40, 100), 100);
            Request urgent = Fixtures.request("r", "floor", WorkClass.INTERACTIVE, 5_100, List.of());
            RoutingDecision.Reject rejection = assertInstanceOf(
                    RoutingDecision.Reject.class, router.choose(urgent, Fixtures.eligibleAnywhere(Set.of()), 100));
            assertTrue(
                    rejection.retryAfterMillis() >= 10_000,
                    "33 runs of 4 s on 8 slots: " + rejection.retryAfterMillis());
        }

        @Test
        void shouldServeOldVersionOnlyWhenNoTargetHasWantedVersion() {
            Router router = Fixtures.router(3);
            var service = new org.rattanplank.core.intent.Service(Fixtures.SERVICE, true, "plank@2", true, true);
            router.applyConfiguration(
                    new org.rattanplank.core.intent.Configuration(
                            2, "", Map.of(Fixtures.SERVICE, service), Map.of(), Map.of(), Map.of(), Set.of()),
                    10);
            assertInstanceOf(
                    RoutingDecision.Dispatch.class,
                    router.choose(Fixtures.request("a"), Fixtures.eligibleAnywhere(Set.of()), 10));
            router.recordLoadReport(
                    new TargetLoad(
                            "t1", Fixtures.SERVICE, List.of("plank@1", "plank@2"), 8, 8, 8, 40, 10_000, false, 20),
                    20);
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "t1",
                        chooseRoute(router, Fixtures.request("b" + i), 30)
                                .route()
                                .peer());
            }
        }

        @Test
        void shouldSpillOverAndReturnWhenHomeIsFullAndThenIdle() {
            Router router = Fixtures.router(2);
            for (int i = 0; i < 10; i++) {
                Fixtures.serve(router, Fixtures.request("l" + i), Fixtures.ANSWERED, 4_000, 10 + i);
            }
            router.updateRegions(List.of(Fixtures.lautoka(2, 5_000)), 5_000);
            assertEquals(0, spilloverFraction(router, 5_100, 50), 0, "an idle home keeps its work");
            router.recordLoadReport(Fixtures.load("t0", 30, 5_200), 5_200);
            router.recordLoadReport(Fixtures.load("t1", 30, 5_200), 5_200);
            assertTrue(spilloverFraction(router, 5_300, 50) > 0.8, "a home with a queue of 11 s spills over");
            router.recordLoadReport(Fixtures.load("t0", 2, 5_400), 5_400);
            router.recordLoadReport(Fixtures.load("t1", 2, 5_400), 5_400);
            spilloverFraction(router, 5_500, 30);
            assertEquals(0, spilloverFraction(router, 5_600, 50), 0, "an idle home serves its work again");
        }

        /**
         * Guards against overloading a region that has just become reachable again. Its links fail and recover, its
         * summary shows it as idle, and every host spills over to it while its prefix caches are cold, unless its
         * usable capacity grows at a bounded rate.
         */
        @Test
        void shouldFillReachableRegionGraduallyWhenItsCachesAreCold() {
            Router router = Fixtures.router(0);
            router.updateRegions(List.of(Fixtures.lautoka(0, 0)), 0);
            router.updateRegions(List.of(), 1_000);
            router.updateRegions(List.of(Fixtures.lautoka(0, 2_000)), 2_000);
            assertTrue(sendUntilFull(router, "a", 2_100) <= 4, "a tenth of 32 slots at first");
            router.updateRegions(List.of(Fixtures.lautoka(0, 12_000)), 12_000);
            assertTrue(sendUntilFull(router, "b", 12_100) >= 30, "all slots after ten seconds");
        }

        @Test
        void shouldApproachNewShareGraduallyWhenItChanges() {
            RemoteRegionTable table = new RemoteRegionTable();
            table.applyConfiguration(Fixtures.shares(Map.of("suva", 1.0)), 0);
            table.applyConfiguration(Fixtures.shares(Map.of("suva", 0.2)), 1_000);
            assertEquals(0.9, table.share("suva", 2_000), 1e-9);
            assertEquals(0.2, table.share("suva", 20_000), 1e-9);
            table.applyConfiguration(Fixtures.shares(Map.of()), 20_000);
            assertEquals(0.3, table.share("suva", 21_000), 1e-9);
        }
    }

    @Nested
    class Ended {
        @Test
        void shouldReadmitTargetOneRequestAtATimeWhenItHadFailed() {
            Router router = Fixtures.router(4);
            failUntilEjected(router, "t2");
            assertFalse(routeRequests(router, "x", 900, 40).contains("t2"), "ejected");
            List<String> peers = routeRequests(router, "y", 10_000, 40);
            assertEquals(1, peers.stream().filter("t2"::equals).count(), "one probe while it has not answered");
        }

        @Test
        void shouldEjectOnlySlowTargetWhenOthersAreFast() {
            Router router = Fixtures.router(4);
            for (int i = 0; i < 80; i++) {
                Request request = Fixtures.request("r" + i);
                Route route = new Route.ToTarget("t" + i % 4);
                long durationMillis = i % 4 == 1 && i > 40 ? 30_000 : 3_000;
                router.recordStart(request, route, 10);
                router.recordEnd(request, route, Fixtures.ANSWERED, durationMillis, 20);
            }
            Set<String> used = new HashSet<>(routeRequests(router, "x", 30, 60));
            assertEquals(Set.of("t0", "t2", "t3"), used);
        }

        /**
         * Guards against ejecting the first target that answers as slow. Without samples the expected run time is near
         * zero, so a first answer after seconds must not be compared with it.
         */
        @Test
        void shouldEjectNoTargetWhenFirstAnswersProvideSamples() {
            Router router = Fixtures.router(2);
            router.recordLoadReport(new TargetLoad("t0", Fixtures.SERVICE, List.of(), 0, 0, 8, 0, 0, false, 5), 5);
            for (int i = 0; i < 8; i++) {
                Request request = Fixtures.request("r" + i);
                router.recordStart(request, new Route.ToTarget("t0"), 10);
                router.recordEnd(request, new Route.ToTarget("t0"), Fixtures.ANSWERED, 4_000, 20);
            }
            assertTrue(routeRequests(router, "x", 30, 20).contains("t0"));
        }

        /**
         * Guards against ejecting a region that has capacity. Its hosts reject several requests of one client account
         * that is over its share; rejections must not count as failures of the region.
         */
        @Test
        void shouldNotEjectRegionWhenItRejectsSingleRequests() {
            Router router = Fixtures.router(0);
            router.updateRegions(List.of(Fixtures.lautoka(0, 0)), 0);
            AttemptResult rejection =
                    new AttemptResult.NotRun(Failure.of(Step.ADMIT, "", "the account is over its fair share"), 5_000);
            for (int i = 0; i < 2 * Ejection.MAX_CONSECUTIVE_FAILURES; i++) {
                Request request = Fixtures.request("r" + i);
                Route route = new Route.ToHost("lautoka-1", "lautoka");
                router.recordStart(request, route, 10);
                router.recordEnd(request, route, rejection, 250, 260);
            }
            RoutingDecision.Dispatch dispatch = chooseRoute(router, Fixtures.request("next"), 400);
            assertEquals("eligible", dispatch.candidates().get(0).verdict());
        }

        /** A target that requests a pause has not failed: it gets no requests for that time, and not longer. */
        @Test
        void shouldPauseTargetWhenItReturnsRetryAfter() {
            Router router = Fixtures.router(2);
            AttemptResult busy = new AttemptResult.NotRun(Failure.of(Step.SEND, "", "no room"), 1_500);
            String peer =
                    Fixtures.serve(router, Fixtures.request("a"), busy, 1, 10).peer();
            assertFalse(routeRequests(router, "x", 500, 20).contains(peer));
            assertTrue(routeRequests(router, "y", 3_000, 20).contains(peer));
        }
    }

    @Nested
    class Finished {
        /**
         * Guards against sending more and more requests to an unresponsive target. It accepts requests and never
         * answers; each is abandoned at its deadline, so its load estimate falls unless abandoned attempts count as
         * failures.
         */
        @Test
        void shouldEjectUnresponsiveTargetWhenItsRequestsPassTheirDeadlines() {
            Router router = Fixtures.router(4);
            for (int i = 0; i < Ejection.MAX_CONSECUTIVE_FAILURES; i++) {
                Request request = Fixtures.request("s" + i, "floor", WorkClass.INTERACTIVE, 1_000, List.of());
                router.recordStart(request, new Route.ToTarget("t3"), 10);
                router.recordFinish(request, 1_000);
            }
            assertFalse(routeRequests(router, "x", 1_100, 40).contains("t3"));
        }

        @Test
        void shouldReleaseLoadWhenCallerCancels() {
            Router router = Fixtures.router(1);
            for (int i = 0; i < 200; i++) {
                Request request = Fixtures.request("c" + i);
                router.recordStart(request, new Route.ToTarget("t0"), 10 + i);
                router.recordFinish(request, 20 + i);
            }
            RemoteRegion.ServiceLoad sum = router.summary(300).get(Fixtures.SERVICE);
            assertEquals(0, sum.running() + sum.queued());
        }
    }

    @Nested
    class MayRetry {
        /** Guards against a retry storm: when all requests fail, retries must not multiply the attempts. */
        @Test
        void shouldBoundAttemptsWhenEverythingFails() {
            Router router = Fixtures.router(10);
            int requests = 1_000;
            int attempts = 0;
            for (int i = 0; i < requests; i++) {
                Request request = Fixtures.request("r" + i);
                router.admit(request, 10 + i);
                int had = 1;
                while (router.mayRetry(request, had, 10 + i)) {
                    had++;
                }
                attempts += had;
            }
            assertTrue(attempts <= 1.1 * requests, "attempts: " + attempts);
        }
    }

    private static RoutingDecision.Dispatch chooseRoute(Router router, Request request, long nowMillis) {
        return assertInstanceOf(
                RoutingDecision.Dispatch.class, router.choose(request, Fixtures.eligibleAnywhere(Set.of()), nowMillis));
    }

    private static void failUntilEjected(Router router, String target) {
        for (int i = 0; i < Ejection.MAX_CONSECUTIVE_FAILURES; i++) {
            Request request = Fixtures.request("f" + i);
            Route route = new Route.ToTarget(target);
            router.recordStart(request, route, 10 + i);
            router.recordEnd(request, route, Fixtures.CONNECTION_REFUSED, 1, 10 + i);
        }
    }

    /** Starts the given number of requests without ending them, and returns the peers that they were sent to. */
    private static List<String> routeRequests(Router router, String prefix, long nowMillis, int count) {
        List<String> peers = new ArrayList<>();
        List<Request> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Request request = Fixtures.request(prefix + i);
            Route route = chooseRoute(router, request, nowMillis).route();
            router.recordStart(request, route, nowMillis);
            started.add(request);
            peers.add(route.peer());
        }
        started.forEach(request -> router.recordFinish(request, nowMillis));
        return peers;
    }

    private static double spilloverFraction(Router router, long nowMillis, int count) {
        int spilledOver = 0;
        for (int i = 0; i < count; i++) {
            spilledOver +=
                    chooseRoute(router, Fixtures.request("s" + i), nowMillis).route() instanceof Route.ToHost ? 1 : 0;
        }
        return spilledOver / (double) count;
    }

    /** Sends requests until the other region has no known capacity left, and returns how many were sent. */
    private static int sendUntilFull(Router router, String prefix, long nowMillis) {
        List<Request> sent = new ArrayList<>();
        while (sent.size() < 100) {
            Request request = Fixtures.request(prefix + sent.size());
            RoutingDecision.Dispatch dispatch = chooseRoute(router, request, nowMillis);
            if (dispatch.candidates().stream()
                    .anyMatch(candidate -> candidate.verdict().equals("last resort"))) {
                break;
            }
            router.recordStart(request, dispatch.route(), nowMillis);
            sent.add(request);
        }
        sent.forEach(request -> router.recordFinish(request, nowMillis));
        return sent.size();
    }
}
