package org.rattanplank.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which prompt parts are quarantined by evidence of crashes. */
class PromptPartQuarantineTest {
    private static final String FIRST = "first";
    private static final String CRASHING = "crashing";
    private static final String OTHER = "other";
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long IN_FLIGHT_MILLIS = 200;

    private final CrashQuarantine quarantine = CrashQuarantine.empty();
    private long nowMillis = 5_000;
    private int requests;

    private static Fingerprint request(int number) {
        return new Fingerprint(number, 1);
    }

    private static LostRequest lost(int number, String... promptParts) {
        return new LostRequest(new RequestIdentity(request(number), List.of(promptParts)), IN_FLIGHT_MILLIS);
    }

    private void crash(String target, LostRequest... lost) {
        quarantine.recordCrash(target, List.of(lost), "h1", nowMillis);
        nowMillis += INTERVAL_MILLIS;
    }

    private void crashUnderNewRequests(int count, String... promptParts) {
        for (int i = 0; i < count; i++) {
            requests++;
            crash("t" + requests, lost(requests, promptParts));
        }
    }

    private void answer(String part) {
        quarantine.clear(Fingerprint.ofPromptPart(part), nowMillis);
    }

    private List<String> quarantinedParts(String... promptParts) {
        return quarantine.quarantinedParts(List.of(promptParts));
    }

    @Test
    void shouldQuarantineAPartWhenTargetsCrashedUnderThreeDifferentRequests() {
        crashUnderNewRequests(2, FIRST, CRASHING);
        answer(FIRST);
        assertEquals(List.of(), quarantinedParts(FIRST, CRASHING));

        crashUnderNewRequests(1, FIRST, CRASHING);

        assertEquals(List.of(CRASHING), quarantinedParts(OTHER, CRASHING, FIRST));
        assertEquals(List.of(), quarantinedParts(FIRST, OTHER));
        assertFalse(quarantine.isQuarantined(request(1)));
    }

    /** Guards against a part that is refused for the crashes of one request, which is sent again and again. */
    @Test
    void shouldBlameTheRequestWhenItAloneBroughtThePart() {
        for (int i = 0; i < CrashBlame.CERTAIN_CRASHES; i++) {
            crash("t" + i, lost(1, FIRST, OTHER));
        }

        assertTrue(quarantine.isQuarantined(request(1)));
        assertEquals(List.of(), quarantinedParts(FIRST, OTHER));
    }

    /** Guards against a part that nearly all requests begin with being blamed for one that is always beside it. */
    @Test
    void shouldRejectOnlyRequestsWithAllPartsWhenNoCrashTellsThemApart() {
        crashUnderNewRequests(CrashBlame.CERTAIN_CRASHES, FIRST, CRASHING);

        assertEquals(List.of(CRASHING, FIRST), quarantinedParts(FIRST, CRASHING, OTHER));
        assertEquals(List.of(), quarantinedParts(FIRST, OTHER));
        assertEquals(List.of(), quarantinedParts(CRASHING));

        answer(FIRST);

        assertEquals(List.of(CRASHING), quarantinedParts(CRASHING));
    }

    /** Guards against a part that many requests share being blamed as many targets crash at once. */
    @Test
    void shouldNotBlameAPartWhenTargetsCrashAtOnce() {
        for (int i = 0; i < 3 * CrashBlame.CERTAIN_CRASHES; i++) {
            quarantine.recordCrash("t" + i, List.of(lost(i, FIRST)), "h1", nowMillis + i);
        }

        assertEquals(List.of(), quarantinedParts(FIRST));
    }

    /** Guards against a sound part that is refused on a day when targets crash by themselves, one after the other. */
    @Test
    void shouldNotBlameAPartWhenAsManyTargetsCrashedWithoutIt() {
        for (int i = 0; i < CrashBlame.MIN_REQUESTS; i++) {
            crash("t" + i, lost(i, OTHER));
            crash("u" + i, lost(100 + i));
            crash("v" + i, lost(200 + i));
        }

        assertEquals(List.of(), quarantinedParts(OTHER));
    }

    /** Guards against a crashing part that stays unknown, as each request with it is blamed for its own crashes. */
    @Test
    void shouldBlameThePartWhenSeveralBlamedRequestsShareIt() {
        for (int number = 0; number < CrashBlame.MIN_REQUESTS; number++) {
            for (int i = 0; i < CrashBlame.MIN_CRASHES; i++) {
                crash("t" + number + i, lost(number, FIRST, CRASHING));
            }
            answer(FIRST);
        }

        assertEquals(List.of(CRASHING), quarantinedParts(FIRST, CRASHING));
    }

    /** Guards against an innocent request that is blamed as it was beside a crashing part several times. */
    @Test
    void shouldNotBlameARequestWhenAPartOfOthersWasPresentAtAllItsCrashes() {
        for (int i = 0; i < CrashBlame.MIN_CRASHES; i++) {
            crash("t" + i, lost(1, OTHER), lost(2 + i, CRASHING));
        }

        assertFalse(quarantine.isQuarantined(request(1)));
    }

    @Test
    void shouldDenyRetriesWhenTargetsCrashedUnderTwoRequestsWithAPart() {
        crashUnderNewRequests(1, CRASHING);
        assertTrue(quarantine.mayRetry(new RequestIdentity(request(9), List.of(CRASHING))));

        crashUnderNewRequests(1, CRASHING);

        assertFalse(quarantine.mayRetry(new RequestIdentity(request(9), List.of(CRASHING))));
        assertTrue(quarantine.mayRetry(new RequestIdentity(request(9), List.of(OTHER))));
    }

    /** Guards against a lifted quarantine that comes back, as parts that can't be told apart are lifted one by one. */
    @Test
    void shouldTellWhatIsQuarantinedTogetherWhenNoCrashTellsPartsApart() {
        crashUnderNewRequests(CrashBlame.CERTAIN_CRASHES, FIRST, CRASHING);

        assertEquals(
                2, quarantine.quarantinedWith(Fingerprint.ofPromptPart(FIRST)).size());
        assertEquals(
                List.of(CRASHING, FIRST),
                quarantine.quarantined(nowMillis).get(0).promptParts());
    }

    /** Guards against hosts that disagree as their messages arrive in different orders, or twice. */
    @Property(tries = 200)
    void shouldDecideTheSameWhenEvidenceArrivesInAnyOrder(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 8) int targets) {
        List<CrashEvidence> evidence = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            for (int part = 0; part < 4; part++) {
                for (int copies = random.nextInt(3); copies > 0; copies--) {
                    PromptPartUse use =
                            new PromptPartUse("p" + part, request(random.nextInt(20)), random.nextInt(3_000));
                    boolean cleared = random.nextInt(8) == 0;
                    evidence.add(CrashEvidence.ofPromptPart("t" + target, use, cleared, 1_000L * target));
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

        List<String> all = List.of("p0", "p1", "p2", "p3");
        assertEquals(
                one.quarantinedParts(all).isEmpty(), other.quarantinedParts(all).isEmpty());
        all.forEach(part -> assertEquals(
                one.quarantinedWith(Fingerprint.ofPromptPart(part)),
                other.quarantinedWith(Fingerprint.ofPromptPart(part))));
    }
}
