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
 * Random sessions of six hosts under faults, held against a ledger of what ran.
 *
 * <p>Each number of a script is one step, so that a failing script shrinks to its shortest form.
 */
class RandomSessionTest {
    private static final List<String> REGIONS = List.of("suva", "lautoka", "labasa");
    private static final int KEYS = 3;

    private final Map<String, String> keyOfRequest = new HashMap<>();
    private final Set<String> ran = new HashSet<>();
    private final Map<String, Integer> runsOfKey = new HashMap<>();
    private final Set<String> dead = new HashSet<>();
    private final List<String> requests = new ArrayList<>();

    /*
     * Symptom: two bookings under one key, or a "not run" that ran, or two outcomes for one request. Sequence: any order
     * of requests, answers, losses, late results, cuts, kills, restarts, planned stops and outages of the store. Cause:
     * any path through the core that a hand-written session does not take.
     */
    @Property(tries = 400, seed = "20261202")
    void shouldRunEachKeyOnceAndTellTheTruthWhenFaultsAreRandom(
            @ForAll @Size(min = 5, max = 60) List<@IntRange(min = 0, max = 1_000_000) Integer> script) {
        reset();
        Session session = Koro.start();
        for (int step : script) {
            take(step, session);
        }
        session.pass(5_000);
        session.cancelled().forEach(this::countRun);
        runsOfKey.forEach((key, runs) -> assertTrue(runs <= 1, () -> key + " ran " + runs + " times"));
        for (String request : requests) {
            List<Outcome> outcomes = session.outcomes(request);
            assertTrue(outcomes.size() <= 1, () -> request + " had " + outcomes);
            if (!outcomes.isEmpty() && outcomes.get(0) instanceof Outcome.NotRun notRun) {
                assertTrue(!ran.contains(request), () -> request + " ran, but: " + notRun);
            }
        }
    }

    private void reset() {
        keyOfRequest.clear();
        ran.clear();
        runsOfKey.clear();
        dead.clear();
        requests.clear();
    }

    private void take(int step, Session session) {
        int choice = step / 16;
        switch (step % 16) {
            case 0, 1, 2, 3 -> book(choice, session);
            case 4 -> draft(choice, session);
            case 5, 6 -> end(choice, session, 0);
            case 7 -> end(choice, session, 1);
            case 8 -> end(choice, session, 2);
            case 9 -> session.pass(200L * (1 + choice % 40));
            case 10 -> kill(choice, session);
            case 11 -> restart(choice, session);
            case 12 -> cut(choice, session);
            case 13 -> session.healAll().pass(300);
            case 14 -> session.storeDown(choice % 2 == 0);
            default -> drain(choice, session);
        }
    }

    private void book(int choice, Session session) {
        String region = REGIONS.get(choice % 3);
        String key = Koro.key(choice / 3 % KEYS);
        String host = host(choice / 9);
        if (dead.contains(host)) {
            return;
        }
        String id = "b" + requests.size();
        requests.add(id);
        keyOfRequest.put(id, region + "/" + key);
        session.ask(host, Koro.booking(session, id, region, key));
    }

    private void draft(int choice, Session session) {
        String host = host(choice / 3);
        if (dead.contains(host)) {
            return;
        }
        String id = "d" + requests.size();
        requests.add(id);
        session.ask(host, Koro.draft(session, id, REGIONS.get(choice % 3)));
    }

    private void end(int choice, Session session, int way) {
        List<String> waiting =
                requests.stream().filter(id -> !session.waitingAt(id).isEmpty()).toList();
        if (waiting.isEmpty()) {
            return;
        }
        String id = waiting.get(choice % waiting.size());
        String target = session.waitingAt(id).get(0);
        AttemptResult result =
                switch (way) {
                    case 0 -> Koro.whole(id);
                    case 1 -> Koro.lost(target);
                    default -> Koro.refused(target);
                };
        if (way != 2) {
            countRun(id);
        }
        session.end(id, result);
        session.feed(host(choice), new Event.AttemptEnded(id, 1, Koro.whole("late")));
    }

    private void countRun(String id) {
        ran.add(id);
        if (keyOfRequest.containsKey(id)) {
            runsOfKey.merge(keyOfRequest.get(id), 1, Integer::sum);
        }
    }

    private void kill(int choice, Session session) {
        String host = host(choice);
        if (dead.add(host)) {
            requests.stream()
                    .filter(id -> keyOfRequest.containsKey(id) && session.isWaitingOn(host, id))
                    .forEach(this::countRun);
            session.kill(host);
        }
    }

    private void restart(int choice, Session session) {
        String host = host(choice);
        if (dead.remove(host)) {
            String region = host.substring(0, host.indexOf('-'));
            session.start(host, region, region + "-hall").relist().pass(500);
        }
    }

    private static void cut(int choice, Session session) {
        String left = host(choice);
        String right = host(choice / 6);
        if (!left.equals(right)) {
            session.cut(left, right);
        }
    }

    private void drain(int choice, Session session) {
        String host = host(choice);
        if (choice % 4 == 0 && !dead.contains(host)) {
            session.feed(host, new Event.DrainAsked()).pass(1_000);
            if (session.node(host) == null) {
                dead.add(host);
            }
        }
    }

    private static String host(int choice) {
        return REGIONS.get(choice % 3) + "-" + (1 + choice / 3 % 2);
    }
}
