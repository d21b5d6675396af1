package org.rattanplank.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.request.WorkClass;

/** Requests, targets and load reports for the routing tests. */
final class Fixtures {
    static final Location SUVA = Location.of("suva", "suva-hall");
    static final String SERVICE = "plank-serve";
    static final Set<String> ANYWHERE = Set.of("suva", "lautoka");
    static final AttemptResult ANSWERED = new AttemptResult.Completed(Answer.of(200, "", new byte[0]), List.of());
    static final AttemptResult CONNECTION_REFUSED =
            new AttemptResult.NotRun(Failure.of(Step.CONNECT, "", "connection refused"), 0);

    private Fixtures() {}

    static List<ListedHost> targets(int count) {
        List<ListedHost> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new ListedHost("t" + i, HostRole.TARGET, SUVA, "127.0.0.1", 1, 0, SERVICE, false));
        }
        return targets;
    }

    static ListedHost ofService(ListedHost target, String service) {
        return new ListedHost(target.name(), HostRole.TARGET, SUVA, "127.0.0.1", 1, 0, service, false);
    }

    static Request ofService(Request request, String service) {
        return new Request(
                request.id(),
                request.account(),
                service,
                request.workClass(),
                true,
                Option.none(),
                "suva",
                Option.none(),
                request.deadlineMillis(),
                request.promptTokens(),
                request.maxTokens(),
                request.prefixHashes(),
                false,
                List.of(),
                false,
                Fingerprint.ofIdentifier(request.id()));
    }

    static Router router(int targets) {
        return router(targets, Policy.COST);
    }

    static Router router(int targets, Policy policy) {
        Router router = Router.of(SUVA, policy, 7);
        router.updateTargets(targets(targets), 0);
        for (int i = 0; i < targets; i++) {
            router.recordLoadReport(load("t" + i, 0, 0), 0);
        }
        return router;
    }

    static TargetLoad load(String target, int load, long atMillis) {
        int running = Math.min(load, 8);
        return new TargetLoad(
                target, SERVICE, List.of("plank@1"), running, load - running, 8, 40, 10_000, false, atMillis);
    }

    static RemoteRegion lautoka(int load, long atMillis) {
        int running = Math.min(load, 32);
        var service = new RemoteRegion.ServiceLoad(4, 32, running, load - running, atMillis);
        return new RemoteRegion("lautoka", List.of("lautoka-1", "lautoka-2"), Map.of(SERVICE, service));
    }

    static Configuration shares(Map<String, Double> shares) {
        return new Configuration(1, "", Map.of(), Map.of(), Map.of(), shares, Set.of());
    }

    static Eligibility eligibleAnywhere(Set<String> triedPeers) {
        return new Eligibility(ANYWHERE, true, triedPeers);
    }

    static Request request(String id) {
        return request(id, "floor", WorkClass.INTERACTIVE, 60_000, List.of());
    }

    static Request request(String id, String account, WorkClass workClass, long deadlineMillis, List<Long> prefixes) {
        return new Request(
                id,
                account,
                SERVICE,
                workClass,
                true,
                Option.none(),
                "suva",
                Option.none(),
                deadlineMillis,
                4_000,
                200,
                prefixes,
                false,
                List.of(),
                false,
                Fingerprint.ofIdentifier(id));
    }

    /** Routes, starts and ends one request, and returns its route. */
    static Route serve(Router router, Request request, AttemptResult result, long durationMillis, long nowMillis) {
        RoutingDecision decision = router.choose(request, new Eligibility(Set.of("suva"), false, Set.of()), nowMillis);
        Route route = ((RoutingDecision.Dispatch) decision).route();
        router.recordStart(request, route, nowMillis);
        router.recordEnd(request, route, result, durationMillis, nowMillis + durationMillis);
        router.recordFinish(request, nowMillis + durationMillis);
        return route;
    }
}
