package org.rattanplank.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import io.vavr.Lazy;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which requests are quarantined by evidence of crashes. */
class CrashQuarantineTest {
    private static final Fingerprint CRASHING = new Fingerprint(1, 1);
    private static final Fingerprint INNOCENT = new Fingerprint(2, 2);
    private static final Fingerprint OTHER = new Fingerprint(3, 3);
    private static final long INTERVAL_MILLIS = 1_000;

    private final CrashQuarantine quarantine = CrashQuarantine.empty();
    private long nowMillis = 5_000;

    private void crash(String target, Fingerprint... inFlight) {
        quarantine.recordCrash(target, Stream.of(inFlight).map(LostRequest::of).toList(), "h1", nowMillis);
        nowMillis += INTERVAL_MILLIS;
    }

    @Test
    void shouldQuarantineARequestWhenThreeTargetsCrashedUnderIt() {
        crash("t1", CRASHING);
        crash("t2", CRASHING);
        assertFalse(quarantine.isQuarantined(CRASHING));

        crash("t3", CRASHING);

        assertTrue(quarantine.isQuarantined(CRASHING));
    }

    /** Guards against a request that is blamed for one crash several times, as several hosts or attempts report it. */
    @Test
    void shouldCountACrashOnceWhenItIsReportedAgain() {
        crash("t1", CRASHING);
        crash("t1", CRASHING);
        crash("t1", CRASHING);

        assertFalse(quarantine.isQuarantined(CRASHING));
    }

    /** Guards against an innocent request that is refused because it was beside a crashing one several times. */
    @Test
    void shouldBlameOnlyTheRequestThatWasPresentAtAllCrashesWhenAnotherWasAtSome() {
        crash("t1", CRASHING, INNOCENT);
        crash("t2", CRASHING, INNOCENT);
        crash("t3", CRASHING, INNOCENT);
        assertFalse(quarantine.isQuarantined(INNOCENT));
        assertFalse(quarantine.isQuarantined(CRASHING));

        crash("t4", CRASHING);

        assertTrue(quarantine.isQuarantined(CRASHING));
        assertFalse(quarantine.isQuarantined(INNOCENT));
    }

    /** Guards against an innocent request that is refused because targets crash by themselves, one after the other. */
    @Test
    void shouldNotBlameARequestWhenAsManyTargetsCrashedWithoutIt() {
        crash("t1", INNOCENT);
        crash("t2", OTHER);
        crash("t3", INNOCENT);
        crash("t4", OTHER);
        crash("t5", new Fingerprint(4, 4));
        crash("t6", INNOCENT);

        assertFalse(quarantine.isQuarantined(INNOCENT));
    }

    @Test
    void shouldBlameBothWhenTwoRequestsCrashTargetsInTurn() {
        for (int i = 0; i < CrashBlame.CERTAIN_CRASHES; i++) {
            crash("t" + i, CRASHING);
            crash("u" + i, OTHER);
        }

        assertTrue(quarantine.isQuarantined(CRASHING));
        assertTrue(quarantine.isQuarantined(OTHER));
    }

    /** Guards against crashes without end under two requests that are always sent together. */
    @Test
    void shouldBlameBothWhenNoCrashTellsThemApart() {
        for (int i = 0; i < CrashBlame.CERTAIN_CRASHES; i++) {
            crash("t" + i, CRASHING, OTHER);
        }

        assertTrue(quarantine.isQuarantined(CRASHING));
        assertTrue(quarantine.isQuarantined(OTHER));
    }

    @Test
    void shouldDenyRetriesWhenTwoTargetsCrashedUnderARequest() {
        crash("t1", CRASHING);
        assertTrue(quarantine.mayRetry(CRASHING));

        crash("t2", CRASHING);

        assertFalse(quarantine.mayRetry(CRASHING));
        assertTrue(quarantine.mayRetry(INNOCENT));
    }

    @Test
    void shouldForgetEarlierCrashesWhenATargetCompletedTheRequest() {
        crash("t1", CRASHING);
        crash("t2", CRASHING);
        quarantine.clear(CRASHING, nowMillis);
        crash("t2", CRASHING);
        crash("t3", CRASHING);
        crash("t4", CRASHING);
        assertFalse(quarantine.isQuarantined(CRASHING));

        crash("t5", CRASHING);

        assertTrue(quarantine.isQuarantined(CRASHING));
    }

    @Test
    void shouldLapseWhenTheEvidenceExpires() {
        crash("t1", CRASHING);
        crash("t2", CRASHING);
        crash("t3", CRASHING);

        quarantine.tick(nowMillis + CrashQuarantine.EXPIRY_MILLIS);

        assertFalse(quarantine.isQuarantined(CRASHING));
        assertTrue(quarantine.isEmpty());
    }

    /** Guards against a quarantine that hosts renew for each other forever. */
    @Test
    void shouldKeepTheAgeOfEvidenceWhenItIsPassedOn() {
        crash("t1", CRASHING);
        crash("t2", CRASHING);
        crash("t3", CRASHING);
        CrashQuarantine other = CrashQuarantine.empty();
        long passedOnAtMillis = nowMillis + CrashQuarantine.EXPIRY_MILLIS - 10 * INTERVAL_MILLIS;
        other.merge(quarantine.evidence(passedOnAtMillis), "h1", 100);
        assertTrue(other.isQuarantined(CRASHING));

        other.tick(100 + 10 * INTERVAL_MILLIS);

        assertFalse(other.isQuarantined(CRASHING));
    }

    @Test
    void shouldTellTheCompletedRequestsAmongSuspectsWhenTheyAreNotCleared() {
        CompletedRequests completed = CompletedRequests.empty();
        completed.add(Lazy.of(() -> INNOCENT));
        completed.add(Lazy.of(() -> OTHER));

        assertEquals(
                Set.of(INNOCENT),
                completed.among(List.of(
                        new CrashEvidence("t1", CRASHING, false, 0),
                        new CrashEvidence("t1", INNOCENT, false, 0),
                        new CrashEvidence("t1", OTHER, true, 0))));
    }

    /** Guards against an exception when two threads of a host come with their times in the other order. */
    @Test
    void shouldReportNoNegativeAgeWhenTheTimeIsSlightlyOlder() {
        crash("t1", CRASHING);

        assertEquals(0, quarantine.evidence(4_990).get(0).ageMillis());
        assertEquals(1, quarantine.clear(CRASHING, 4_990).news().size());
    }

    /** Guards against a caller that fills the memory with different requests, and against losing the quarantine so. */
    @Test
    void shouldStayBoundedAndKeepTheQuarantineWhenThousandsOfRequestsAreSuspected() {
        crash("t1", CRASHING);
        crash("t2", CRASHING);
        crash("t3", CRASHING);

        for (int i = 0; i < 5 * CrashQuarantine.MAX_EVIDENCE; i++) {
            quarantine.recordCrash("u" + i, List.of(LostRequest.of(new Fingerprint(i, 100 + i))), "h1", nowMillis);
        }

        assertTrue(quarantine.evidence(nowMillis).size() <= CrashQuarantine.MAX_EVIDENCE);
        assertTrue(quarantine.isQuarantined(CRASHING));
    }

    /** Guards against hosts that disagree as their messages arrive in different orders, or twice. */
    @Property(tries = 200)
    void shouldDecideTheSameWhenEvidenceArrivesInAnyOrder(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 8) int targets) {
        List<CrashEvidence> evidence = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            for (int request = 0; request < 5; request++) {
                if (random.nextInt(3) > 0) {
                    boolean cleared = random.nextInt(8) == 0;
                    evidence.add(
                            new CrashEvidence("t" + target, new Fingerprint(request, 0), cleared, 1_000L * target));
                }
            }
        }
        CrashQuarantine one = CrashQuarantine.empty();
        CrashQuarantine other = CrashQuarantine.empty();
        one.merge(evidence, "h1", 60_000);
        Collections.shuffle(evidence, random);
        evidence.forEach(each -> other.merge(List.of(each), "h2", 60_000));
        Collections.shuffle(evidence, random);
        evidence.forEach(each -> other.merge(List.of(each), "h3", 60_000));

        for (int request = 0; request < 5; request++) {
            Fingerprint fingerprint = new Fingerprint(request, 0);
            assertEquals(one.isQuarantined(fingerprint), other.isQuarantined(fingerprint));
        }
    }
}
