package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.request.WorkClass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Properties that hold for every policy after any sequence of events. */
class RouterPropertiesTest {
    private static final int STEPS = 300;
    private static final String OTHER = "crew-desk";

    @Property(tries = 200, seed = "42")
    void shouldChooseOnlyEligiblePeersWhenAnythingHappens(@ForAll Policy policy, @ForAll Random random) {
        Router router = Router.of(Fixtures.SUVA, policy, random.nextLong());
        Session session = new Session(router, random);
        for (int i = 0; i < STEPS; i++) {
            session.step(i * 37L);
        }
    }

    @Property(tries = 50, seed = "42")
    void shouldDecideDeterministicallyWhenSeedAndEventsAreEqual(@ForAll Policy policy, @ForAll long seed) {
        List<RoutingDecision> first = decisions(policy, seed);
        assertEquals(first, decisions(policy, seed));
    }

    /** At most half of the targets are ejected, however many fail, so that some always receive requests. */
    @Property(tries = 100, seed = "42")
    void shouldKeepHalfAvailableWhenAllFail(@ForAll @IntRange(min = 1, max = 12) int targets, @ForAll Random random) {
        ServiceTargets service = new ServiceTargets(Policy.COST);
        Target[] all = new Target[targets];
        for (int i = 0; i < targets; i++) {
            all[i] = Target.warm("t" + i, "plank-serve", 0);
        }
        service.targets(all, 0);
        for (int i = 0; i < 100; i++) {
            service.eject(all[random.nextInt(targets)], i * 10L);
            long nowMillis = i * 10L;
            long ejected = List.of(all).stream()
                    .filter(target -> target.ejection.isEjected(nowMillis))
                    .count();
            assertTrue(ejected * 2 <= targets);
        }
        Target[] fewer = java.util.Arrays.copyOf(all, (targets + 1) / 2);
        service.targets(fewer, 1_000);
        long ejected = List.of(fewer).stream()
                .filter(target -> target.ejection.isEjected(1_000))
                .count();
        assertTrue(ejected * 2 <= fewer.length);
    }

    @Example
    void shouldBoundCandidatesWhenThereAreManyTargetsAndRegions() {
        Router router = Fixtures.router(500);
        Request request = Fixtures.request("a", "floor", WorkClass.DRAFT, 60_000, List.of(1L, 2L));
        RoutingDecision decision = router.choose(request, Fixtures.eligibleAnywhere(Set.of("t1")), 10);
        assertTrue(decision.candidates().size() <= CandidateLog.MAX_CANDIDATES);
    }

    private static List<RoutingDecision> decisions(Policy policy, long seed) {
        Router router = Router.of(Fixtures.SUVA, policy, seed);
        Session session = new Session(router, new Random(seed));
        List<RoutingDecision> decisions = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            session.step(i * 37L).forEach(decisions::add);
        }
        return decisions;
    }

    /** A random sequence of events that checks each routing decision. */
    private static final class Session {
        private final Router router;
        private final Random random;
        private final Set<String> listed = new HashSet<>();
        private final Set<String> leaving = new HashSet<>();
        private final List<Request> running = new ArrayList<>();
        private int requests;

        Session(Router router, Random random) {
            this.router = router;
            this.random = random;
        }

        List<RoutingDecision> step(long nowMillis) {
            switch (random.nextInt(8)) {
                case 0 -> updateList(nowMillis);
                case 1 -> reportLoad(nowMillis);
                case 2 -> router.recordMissedReport("t" + random.nextInt(8), nowMillis);
                case 3 -> router.updateRegions(
                        random.nextBoolean() ? List.of(Fixtures.lautoka(random.nextInt(60), nowMillis)) : List.of(),
                        nowMillis);
                case 4 -> endAttempt(nowMillis);
                default -> {
                    return List.of(chooseRoute(nowMillis));
                }
            }
            return List.of();
        }

        private static boolean servesOther(String target) {
            return target.equals("t5") || target.equals("t6") || target.equals("t7");
        }

        private void updateList(long nowMillis) {
            List<ListedHost> targets = Fixtures.targets(8).stream()
                    .map(target -> servesOther(target.name()) ? Fixtures.ofService(target, OTHER) : target)
                    .filter(target -> random.nextInt(4) > 0)
                    .toList();
            Set<String> names = new HashSet<>();
            targets.forEach(target -> names.add(target.name()));
            // A target that is removed from the list and listed again is a new one, which is not leaving.
            leaving.removeIf(name -> !names.contains(name));
            listed.clear();
            listed.addAll(names);
            router.updateTargets(targets, nowMillis);
        }

        private void reportLoad(long nowMillis) {
            String target = "t" + random.nextInt(8);
            boolean isLeaving = random.nextInt(6) == 0;
            if (isLeaving && listed.contains(target)) {
                leaving.add(target);
            }
            int runningCount = random.nextInt(9);
            int queued = random.nextInt(5);
            List<String> models = List.of("plank@1");
            router.recordLoadReport(
                    new TargetLoad(
                            target, Fixtures.SERVICE, models, runningCount, queued, 8, 40, 9_000, isLeaving, nowMillis),
                    nowMillis);
        }

        private void endAttempt(long nowMillis) {
            if (running.isEmpty()) {
                return;
            }
            Request request = running.remove(random.nextInt(running.size()));
            AttemptResult result =
                    switch (random.nextInt(4)) {
                        case 0 -> Fixtures.CONNECTION_REFUSED;
                        case 1 -> new AttemptResult.Lost(Failure.of(Step.RECEIVE, "", "reset"), 0);
                        default -> Fixtures.ANSWERED;
                    };
            router.recordEnd(request, new Route.ToTarget("any"), result, random.nextInt(5_000), nowMillis);
            router.recordFinish(request, nowMillis);
        }

        private RoutingDecision chooseRoute(long nowMillis) {
            Request base = Fixtures.request(
                    "r" + requests++,
                    "a" + random.nextInt(3),
                    WorkClass.values()[random.nextInt(3)],
                    nowMillis + random.nextInt(20_000),
                    List.of((long) random.nextInt(5), 100L + random.nextInt(20)));
            Request request = random.nextInt(3) == 0 ? Fixtures.ofService(base, OTHER) : base;
            Set<String> triedPeers = new HashSet<>();
            for (int i = random.nextInt(6); i > 0; i--) {
                triedPeers.add("t" + random.nextInt(8));
            }
            if (random.nextBoolean()) {
                triedPeers.add("lautoka-1");
            }
            Set<String> allowed = random.nextInt(4) == 0 ? Set.of("lautoka") : Fixtures.ANYWHERE;
            boolean mayLeaveRegion = random.nextBoolean();
            router.admit(request, nowMillis);
            RoutingDecision decision =
                    router.choose(request, new Eligibility(allowed, mayLeaveRegion, triedPeers), nowMillis);
            if (decision instanceof RoutingDecision.Dispatch dispatch) {
                checkRoute(request, dispatch.route(), allowed, mayLeaveRegion, triedPeers);
                router.recordStart(request, dispatch.route(), nowMillis);
                running.add(request);
            }
            assertTrue(decision.candidates().size() <= CandidateLog.MAX_CANDIDATES);
            return decision;
        }

        private void checkRoute(
                Request request, Route route, Set<String> allowed, boolean mayLeaveRegion, Set<String> triedPeers) {
            assertFalse(triedPeers.contains(route.peer()), "tried before");
            if (route instanceof Route.ToHost host) {
                assertTrue(mayLeaveRegion && allowed.contains(host.region()), "left the region without permission");
            } else {
                assertTrue(allowed.contains("suva"), "served outside its residency");
                assertTrue(listed.contains(route.peer()), "not listed");
                assertEquals(request.service().equals(OTHER), servesOther(route.peer()), "runs another service");
                assertFalse(leaving.contains(route.peer()), "leaving");
            }
        }
    }
}
