package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Covers all orders in which a host may receive events of two incarnations of one target: from the store, whose older
 * writes may be delayed, from other hosts, and with the store unavailable and back in between.
 */
class TargetIncarnationSearchTest {
    private static final String DATA_CENTRE = "suva-hall";
    private static final int STEPS = 5;
    private static final InFlightWork ONE_REQUEST = new InFlightWork(1, PrefillBacklog.NONE, 0);

    /** An event that a host may receive. */
    private enum Event {
        EARLIER_READY,
        EARLIER_LEAVING,
        LATER_READY,
        LATER_LEAVING,
        REMOVED,
        UNREADABLE,
        STORE_RETURNED,
        TIME_PASSES,
        PEER_WORK_AT_EARLIER;

        private static final long EARLIER_START_MILLIS = 1_000;
        private static final long LATER_START_MILLIS = 2_000;

        long startedAtMillis() {
            return this == LATER_READY || this == LATER_LEAVING ? LATER_START_MILLIS : EARLIER_START_MILLIS;
        }
    }

    /** The expected view of a host, derived from the events alone and independent of the tested code. */
    private static final class Expected {
        private long startedAtMillis;
        private long departedStartedAtMillis;
        private boolean leaving;
        private boolean unreadable;
        private boolean missing;
        private boolean removalGrace;

        private void receive(Event event) {
            switch (event) {
                case EARLIER_READY, EARLIER_LEAVING, LATER_READY, LATER_LEAVING -> update(event);
                case REMOVED -> {
                    missing = startedAtMillis > 0 && removalGrace;
                    if (!missing) {
                        remove();
                    }
                }
                case UNREADABLE -> {
                    unreadable |= startedAtMillis > 0;
                }
                case STORE_RETURNED -> {
                    removalGrace = true;
                }
                case TIME_PASSES -> {
                    removalGrace = false;
                    if (missing) {
                        remove();
                    }
                }
                default -> {}
            }
        }

        private void update(Event event) {
            if (event.startedAtMillis() < startedAtMillis
                    || startedAtMillis == 0 && event.startedAtMillis() <= departedStartedAtMillis) {
                return;
            }
            leaving &= event.startedAtMillis() == startedAtMillis;
            startedAtMillis = event.startedAtMillis();
            leaving |= event == Event.EARLIER_LEAVING || event == Event.LATER_LEAVING;
            unreadable = false;
            missing = false;
        }

        private void remove() {
            departedStartedAtMillis = Math.max(departedStartedAtMillis, startedAtMillis);
            startedAtMillis = 0;
            leaving = false;
            unreadable = false;
            missing = false;
        }

        private String text() {
            return startedAtMillis == 0
                    ? "none"
                    : "a@" + startedAtMillis + (leaving || unreadable ? " unused" : " used");
        }
    }

    /** A host, its clock and its expected view. */
    private static final class Host {
        private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));
        private final Expected expected = new Expected();
        private long nowMillis;

        private void receive(Event event) {
            nowMillis++;
            expected.receive(event);
            switch (event) {
                case EARLIER_READY, LATER_READY -> update(event, false);
                case EARLIER_LEAVING, LATER_LEAVING -> update(event, true);
                case REMOVED -> pool.remove("a", nowMillis);
                case UNREADABLE -> pool.markUnreadable("a");
                case STORE_RETURNED -> pool.recordStoreRecovery(nowMillis);
                case TIME_PASSES -> {
                    nowMillis += TargetPool.REMOVAL_GRACE_MILLIS;
                }
                default -> pool.findIncarnation("a@" + Event.EARLIER_START_MILLIS)
                        .forEach(target -> target.updateWorkOfHost("h2", ONE_REQUEST));
            }
            pool.tick(nowMillis);
        }

        private void update(Event event, boolean leaving) {
            pool.register(Samples.incarnation("a", event.startedAtMillis(), DATA_CENTRE, leaving, 0), nowMillis);
        }

        private String view() {
            return pool.find("a")
                    .map(target -> target.incarnationText() + (pool.isUsable(target, nowMillis) ? " used" : " unused"))
                    .getOrElse("none");
        }

        private boolean countsWorkOfTheEarlierIncarnationAtTheLater() {
            return pool.findIncarnation("a@" + Event.LATER_START_MILLIS)
                    .exists(target -> target.totalWork().requests() > 0);
        }
    }

    private static List<List<Event>> sequences(int steps) {
        List<List<Event>> sequences = new ArrayList<>();
        sequences.add(List.of());
        for (int i = 0; i < steps; i++) {
            List<List<Event>> longer = new ArrayList<>();
            for (List<Event> sequence : sequences) {
                for (Event event : Event.values()) {
                    List<Event> next = new ArrayList<>(sequence);
                    next.add(event);
                    longer.add(next);
                }
            }
            sequences = longer;
        }
        return sequences;
    }

    /**
     * Guards against a host that uses a terminated incarnation, or passes over a live one. It comes about when events
     * of the earlier incarnation, in any order, are applied to the later one.
     */
    @Test
    void shouldUseTheLaterIncarnationOnlyWhenEventsOfBothArriveInAnyOrder() {
        for (List<Event> sequence : sequences(STEPS)) {
            Host host = new Host();
            for (Event event : sequence) {
                host.receive(event);
                assertEquals(host.expected.text(), host.view(), sequence::toString);
            }
            assertEquals(false, host.countsWorkOfTheEarlierIncarnationAtTheLater(), sequence::toString);
        }
    }

    /**
     * Guards against hosts of a region that disagree on a target permanently. They receive different events on both
     * sides of a partition, which heals, and the live incarnation registers again; it comes about when their earlier
     * view keeps them from the newer entry. Whatever each of them received, all have the same view afterwards.
     */
    @Test
    void shouldUseTheLiveIncarnationWhenItRegistersAgainAfterAPartition() {
        for (List<Event> sequence : sequences(STEPS)) {
            if (endsTheLaterIncarnation(sequence)) {
                continue;
            }
            Host host = new Host();
            sequence.forEach(host::receive);
            host.receive(Event.TIME_PASSES);
            host.receive(Event.LATER_READY);
            assertEquals("a@" + Event.LATER_START_MILLIS + " used", host.view(), sequence::toString);
        }
    }

    private static boolean endsTheLaterIncarnation(List<Event> sequence) {
        int registered = sequence.indexOf(Event.LATER_READY);
        return sequence.contains(Event.LATER_LEAVING)
                || registered >= 0 && sequence.lastIndexOf(Event.REMOVED) > registered;
    }
}
