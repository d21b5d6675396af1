package org.rattanplank.core.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.rattanplank.core.Event;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Outcome;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs a simulated cluster of six hosts under random faults, and checks the outcomes against a record of the requests
 * that ran.
 *
 * <p>A booking is a keyed request that must run at most once; a draft is a request that may be repeated.
 *
 * <p>Each number of a script is one step, so that a failing script can be shrunk.
 */
class RandomSessionTest {
    private static final List<String> REGIONS = List.of("suva", "lautoka", "labasa");
    private static final int KEYS = 3;

    private final Map<String, String> keyOfRequest = new HashMap<>();
    private final Set<String> requestsThatRan = new HashSet<>();
    private final Map<String, Integer> runsByKey = new HashMap<>();
    // Killed or drained, and not restarted since.
    private final Set<String> stoppedHosts = new HashSet<>();
    private final List<String> requests = new ArrayList<>();

    /*
     * Guards against a key whose booking runs twice, a request that ran but ended as "not run", and two outcomes of one
     * request, after any order of requests, results (also lost and late ones), partitions, kills, restarts, drains and
     * store outages.
     */
    @Property(tries = 400, seed = "20261202")
    void shouldRunAtMostOncePerKeyAndReportTrueOutcomesWhenFaultsAreRandom(
            @ForAll @Size(min = 5, max = 60) List<@IntRange(min = 0, max = 1_000_000) Integer> script) {
        reset();
        Session session = Koro.start();
        for (int step : script) {
            runStep(step, session);
        }
        session.advance(5_000);
        // A cancelled attempt had reached its target, which may have run it before the cancellation.
        session.cancelled().forEach(this::countRun);
        runsByKey.forEach((key, runs) -> assertTrue(runs <= 1, () -> key + " ran " + runs + " times"));
        for (String request : requests) {
            List<Outcome> outcomes = session.outcomes(request);
            assertTrue(outcomes.size() <= 1, () -> request + " had " + outcomes);
            if (!outcomes.isEmpty() && outcomes.get(0) instanceof Outcome.NotRun notRun) {
                assertTrue(!requestsThatRan.contains(request), () -> request + " ran, but: " + notRun);
            }
        }
    }

    private void reset() {
        keyOfRequest.clear();
        requestsThatRan.clear();
        runsByKey.clear();
        stoppedHosts.clear();
        requests.clear();
    }

    private void runStep(int step, Session session) {
        int choice = step / 16;
        switch (step % 16) {
            case 0, 1, 2, 3 -> book(choice, session);
            case 4 -> draft(choice, session);
            case 5, 6 -> endAttempt(choice, session, 0);
            case 7 -> endAttempt(choice, session, 1);
            case 8 -> endAttempt(choice, session, 2);
            case 9 -> session.advance(200L * (1 + choice % 40));
            case 10 -> kill(choice, session);
            case 11 -> restart(choice, session);
            case 12 -> partition(choice, session);
            case 13 -> session.healPartitions().advance(300);
            case 14 -> session.setStoreDown(choice % 2 == 0);
            default -> drain(choice, session);
        }
    }

    private void book(int choice, Session session) {
        String region = REGIONS.get(choice % 3);
        String key = Koro.key(choice / 3 % KEYS);
        String host = host(choice / 9);
        if (stoppedHosts.contains(host)) {
            return;
        }
        String id = "b" + requests.size();
        requests.add(id);
        keyOfRequest.put(id, region + "/" + key);
        session.request(host, Koro.booking(session, id, region, key));
    }

    private void draft(int choice, Session session) {
        String host = host(choice / 3);
        if (stoppedHosts.contains(host)) {
            return;
        }
        String id = "d" + requests.size();
        requests.add(id);
        session.request(host, Koro.draft(session, id, REGIONS.get(choice % 3)));
    }

    private void endAttempt(int choice, Session session, int resultKind) {
        List<String> waiting = requests.stream()
                .filter(id -> !session.pendingTargets(id).isEmpty())
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        String id = waiting.get(choice % waiting.size());
        String target = session.pendingTargets(id).get(0);
        AttemptResult result =
                switch (resultKind) {
                    case 0 -> Koro.completed(id);
                    case 1 -> Koro.lost(target);
                    default -> Koro.refused(target);
                };
        if (resultKind != 2) {
            countRun(id);
        }
        session.end(id, result);
        session.handleEvent(host(choice), new Event.AttemptEnded(id, 1, Koro.completed("late")));
    }

    private void countRun(String id) {
        requestsThatRan.add(id);
        if (keyOfRequest.containsKey(id)) {
            runsByKey.merge(keyOfRequest.get(id), 1, Integer::sum);
        }
    }

    private void kill(int choice, Session session) {
        String host = host(choice);
        if (stoppedHosts.add(host)) {
            requests.stream()
                    .filter(id -> keyOfRequest.containsKey(id) && session.hasAttemptAtTarget(host, id))
                    .forEach(this::countRun);
            session.kill(host);
        }
    }

    private void restart(int choice, Session session) {
        String host = host(choice);
        if (stoppedHosts.remove(host)) {
            String region = host.substring(0, host.indexOf('-'));
            session.start(host, region, region + "-hall").publishHostList().advance(500);
        }
    }

    private static void partition(int choice, Session session) {
        String left = host(choice);
        String right = host(choice / 6);
        if (!left.equals(right)) {
            session.partition(left, right);
        }
    }

    private void drain(int choice, Session session) {
        String host = host(choice);
        if (choice % 4 == 0 && !stoppedHosts.contains(host)) {
            session.handleEvent(host, new Event.DrainAsked()).advance(1_000);
            if (session.node(host) == null) {
                stoppedHosts.add(host);
            }
        }
    }

    private static String host(int choice) {
        return REGIONS.get(choice % 3) + "-" + (1 + choice / 3 % 2);
    }
}
