package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Walks all orders in which a host may hear of two runs of one target: from the store, whose older writes may come late,
 * from other hosts, and with the store away and back in between.
 */
class TargetRunSearchTest {
    private static final String HALL = "suva-hall";
    private static final int STEPS = 5;
    private static final SentWork ONE_REQUEST = new SentWork(1, WaitingTokens.NONE, 0);

    /** What a host may hear. */
    private enum Word {
        EARLIER_READY,
        EARLIER_LEAVES,
        LATER_READY,
        LATER_LEAVES,
        REMOVED,
        UNREADABLE,
        STORE_RETURNED,
        TIME_PASSES,
        OTHERS_WORK_AT_EARLIER;

        private static final long EARLIER_BORN_MILLIS = 1_000;
        private static final long LATER_BORN_MILLIS = 2_000;

        long bornMillis() {
            return this == LATER_READY || this == LATER_LEAVES ? LATER_BORN_MILLIS : EARLIER_BORN_MILLIS;
        }
    }

    /** What a host should believe: kept apart from the code that is tested, by the words alone. */
    private static final class Expected {
        private long bornMillis;
        private long leftBornMillis;
        private boolean leaving;
        private boolean unreadable;
        private boolean missing;
        private boolean lenient;

        private void hear(Word word) {
            switch (word) {
                case EARLIER_READY, EARLIER_LEAVES, LATER_READY, LATER_LEAVES -> enter(word);
                case REMOVED -> {
                    missing = bornMillis > 0 && lenient;
                    if (!missing) {
                        leave();
                    }
                }
                case UNREADABLE -> {
                    unreadable |= bornMillis > 0;
                }
                case STORE_RETURNED -> {
                    lenient = true;
                }
                case TIME_PASSES -> {
                    lenient = false;
                    if (missing) {
                        leave();
                    }
                }
                default -> {}
            }
        }

        private void enter(Word word) {
            if (word.bornMillis() < bornMillis || bornMillis == 0 && word.bornMillis() <= leftBornMillis) {
                return;
            }
            leaving &= word.bornMillis() == bornMillis;
            bornMillis = word.bornMillis();
            leaving |= word == Word.EARLIER_LEAVES || word == Word.LATER_LEAVES;
            unreadable = false;
            missing = false;
        }

        private void leave() {
            leftBornMillis = Math.max(leftBornMillis, bornMillis);
            bornMillis = 0;
            leaving = false;
            unreadable = false;
            missing = false;
        }

        private String text() {
            return bornMillis == 0 ? "none" : "a@" + bornMillis + (leaving || unreadable ? " unused" : " used");
        }
    }

    /** A host, its clock and what it should believe. */
    private static final class Host {
        private final TargetPool pool = TargetPool.of(Set.of(HALL));
        private final Expected expected = new Expected();
        private long nowMillis;

        private void hear(Word word) {
            nowMillis++;
            expected.hear(word);
            switch (word) {
                case EARLIER_READY, LATER_READY -> enter(word, false);
                case EARLIER_LEAVES, LATER_LEAVES -> enter(word, true);
                case REMOVED -> pool.removed("a", nowMillis);
                case UNREADABLE -> pool.unreadable("a");
                case STORE_RETURNED -> pool.storeReturned(nowMillis);
                case TIME_PASSES -> {
                    nowMillis += TargetPool.REMOVAL_GRACE_MILLIS;
                }
                default -> pool.findRun("a@" + Word.EARLIER_BORN_MILLIS)
                        .forEach(target -> target.sentByOther("h2", ONE_REQUEST));
            }
            pool.tick(nowMillis);
        }

        private void enter(Word word, boolean leaving) {
            pool.entered(Samples.run("a", word.bornMillis(), HALL, leaving, 0), nowMillis);
        }

        private String believed() {
            return pool.find("a")
                    .map(target -> target.runText() + (pool.isUsable(target, nowMillis) ? " used" : " unused"))
                    .getOrElse("none");
        }

        private boolean countsWorkOfTheEarlierRunAtTheLater() {
            return pool.findRun("a@" + Word.LATER_BORN_MILLIS)
                    .exists(target -> target.all().requests() > 0);
        }
    }

    private static List<List<Word>> all(int steps) {
        List<List<Word>> sequences = new ArrayList<>();
        sequences.add(List.of());
        for (int i = 0; i < steps; i++) {
            List<List<Word>> longer = new ArrayList<>();
            for (List<Word> sequence : sequences) {
                for (Word word : Word.values()) {
                    List<Word> next = new ArrayList<>(sequence);
                    next.add(word);
                    longer.add(next);
                }
            }
            sequences = longer;
        }
        return sequences;
    }

    /**
     * Symptom: a host uses a run that is over, or passes over one that lives. Sequence: any order of words of two runs.
     * Cause: words of the earlier run were applied to the later one.
     */
    @Test
    void shouldBelieveTheLaterRunAloneWhenWordsOfBothComeInAnyOrder() {
        for (List<Word> sequence : all(STEPS)) {
            Host host = new Host();
            for (Word word : sequence) {
                host.hear(word);
                assertEquals(host.expected.text(), host.believed(), sequence::toString);
            }
            assertEquals(false, host.countsWorkOfTheEarlierRunAtTheLater(), sequence::toString);
        }
    }

    /**
     * Symptom: hosts of a region disagree on a target for good. Sequence: they hear different words on both sides of a
     * cut, which heals; the run that lives enters itself again. Cause: what one believed kept it from the newer word.
     * Whatever each of them heard, all believe the same afterwards.
     */
    @Test
    void shouldUseTheLivingRunWhenItEntersItselfAgainAfterACut() {
        for (List<Word> sequence : all(STEPS)) {
            if (tellsTheEndOfTheLaterRun(sequence)) {
                continue;
            }
            Host host = new Host();
            sequence.forEach(host::hear);
            host.hear(Word.TIME_PASSES);
            host.hear(Word.LATER_READY);
            assertEquals("a@" + Word.LATER_BORN_MILLIS + " used", host.believed(), sequence::toString);
        }
    }

    private static boolean tellsTheEndOfTheLaterRun(List<Word> sequence) {
        int entered = sequence.indexOf(Word.LATER_READY);
        return sequence.contains(Word.LATER_LEAVES) || entered >= 0 && sequence.lastIndexOf(Word.REMOVED) > entered;
    }
}
