package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.store.FakeStore;
import org.rattanplank.core.store.StoreReply;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ApplyTest {
    private static final int RUNS = 3_000;
    private static final int FAULT_PERCENT = 25;

    private final Document base = Document.empty().next(Files.retiring("a", "b"), "c0");

    @Test
    void shouldHoldBothChangesWhenOneOperatorAddsAndTheOtherRenames() {
        // Symptom: after two applies that both said "done", a file that one operator renamed is back under its old
        // name, or the added one is gone. Sequence: both read generation 1; both write; the store takes one and loses
        // its answer; both try again. Cause: writing the own folder over the newest document.
        SortedMap<String, JsonNode> renamed = Files.retiring("a");
        renamed.put("z", Files.retire("b"));
        race(Files.retiring("a", "b", "c"), renamed, Set.of("a", "c", "z"));
    }

    @Test
    void shouldHoldBothChangesWhenOneOperatorAddsAndTheOtherRemoves() {
        // Symptom: a removed retire intent is back, so a host that was to stay leaves. Sequence and cause as above.
        race(Files.retiring("a", "b", "c"), Files.retiring("a"), Set.of("a", "c"));
    }

    @Test
    void shouldTellOneOperatorOfTheConflictWhenBothChangeOneFile() {
        // Symptom: both operators are told "done", and one of the two contents is in force nowhere. Sequence: both
        // change one file from generation 1, answers are lost. Cause: the last writer wins.
        for (int seed = 0; seed < RUNS; seed++) {
            SortedMap<String, JsonNode> ours = Files.retiring("a", "b");
            ours.put("a", Files.retire("a", "ours"));
            SortedMap<String, JsonNode> theirs = Files.retiring("a", "b");
            theirs.put("a", Files.retire("a", "theirs"));
            FakeStore store = storeWithBase();
            List<Apply> ended = run(store, ours, theirs, new Random(seed));
            long done = ended.stream().filter(ApplyTest::isDone).count();
            long conflicts = ended.stream()
                    .filter(apply -> apply.step() instanceof ApplyStep.Conflicting)
                    .count();
            boolean gaveUp = ended.stream().anyMatch(apply -> apply.step() instanceof ApplyStep.Failed);
            assertTrue(gaveUp || (done == 1 && conflicts == 1), "seed " + seed + ": " + steps(ended));
            String reason = newest(store).files().get("a").path("reason").asText();
            assertEquals(isDone(ended.get(0)), "ours".equals(reason), "seed " + seed + ": " + steps(ended));
        }
    }

    @Test
    void shouldSettleByItsOwnChangeWhenOthersAppliedAfterTheLostAnswer() {
        // Symptom: an operator is told of a conflict with their own file. Sequence: the write takes effect, the answer
        // is lost, another operator changes the same file, then the first reads back. Cause: only the newest change's
        // identity is looked at.
        FakeStore store = storeWithBase();
        Apply apply = Apply.of(new ConfigurationChange(base, Files.retiring("a", "b", "c"), "mine"));
        apply = step(apply, store, FakeStore.Fault.NONE);
        apply = step(apply, store, FakeStore.Fault.ANSWER_LOST);
        Document mine = newest(store);
        SortedMap<String, JsonNode> later = Files.retiring("a", "b", "c");
        later.put("c", Files.retire("c", "changed later"));
        store.write(Configurations.KEY, mine.next(later, "other").toText());
        apply = step(apply, store, FakeStore.Fault.NONE);
        assertEquals(2, assertInstanceOf(ApplyStep.Done.class, apply.step()).generation());
    }

    @Test
    void shouldReadAgainWhenTheStoreGivesAnOlderGenerationThanWasSeen() {
        // Symptom: a conflict although nobody else changed anything. Sequence: the operator saw generation 2, a lagging
        // member of the store answers generation 1. Cause: a stale read is taken for the newest document.
        FakeStore store = storeWithBase();
        long old = store.revision();
        Document second = base.next(Files.retiring("a", "b", "c"), "c1");
        store.write(Configurations.KEY, second.toText());
        SortedMap<String, JsonNode> wanted = Files.retiring("a", "b", "c");
        wanted.put("c", Files.retire("c", "mine"));
        Apply apply = Apply.of(new ConfigurationChange(second, wanted, "mine"));
        apply = apply.replied(store.staleGet(Configurations.KEY, old));
        while (!isEnded(apply)) {
            apply = step(apply, store, FakeStore.Fault.NONE);
        }
        assertEquals(3, assertInstanceOf(ApplyStep.Done.class, apply.step()).generation());
    }

    @Test
    void shouldApplyNothingWhenTheMergedDocumentHasFaults() {
        FakeStore store = storeWithBase();
        SortedMap<String, JsonNode> wanted = Files.retiring("a", "b");
        wanted.put("c", Files.retire("floor", "x").deepCopy());
        ((com.fasterxml.jackson.databind.node.ObjectNode) wanted.get("c")).put("kind", "limit");
        Apply apply = Apply.of(new ConfigurationChange(base, wanted, "mine"));
        apply = step(apply, store, FakeStore.Fault.NONE);
        assertInstanceOf(ApplyStep.Refused.class, apply.step());
        assertEquals(1, newest(store).generation());
    }

    @Test
    void shouldSayThatNothingWasAppliedWhenTheStoreIsDown() {
        Apply apply = Apply.of(new ConfigurationChange(base, Files.retiring("c"), "mine"));
        while (!isEnded(apply)) {
            apply = apply.replied(new StoreReply.Unavailable("down"));
        }
        assertTrue(assertInstanceOf(ApplyStep.Failed.class, apply.step()).surelyNotApplied());
    }

    private void race(SortedMap<String, JsonNode> ours, SortedMap<String, JsonNode> theirs, Set<String> expected) {
        for (int seed = 0; seed < RUNS; seed++) {
            FakeStore store = storeWithBase();
            List<Apply> ended = run(store, ours, theirs, new Random(seed));
            boolean bothDone = ended.stream().allMatch(ApplyTest::isDone);
            boolean gaveUp = ended.stream().anyMatch(apply -> apply.step() instanceof ApplyStep.Failed);
            assertTrue(bothDone || gaveUp, "seed " + seed + ": " + steps(ended));
            if (bothDone) {
                assertEquals(expected, newest(store).files().keySet(), "seed " + seed);
                assertEquals(3, newest(store).generation(), "seed " + seed + ": each change makes one generation");
            }
        }
    }

    private List<Apply> run(
            FakeStore store, SortedMap<String, JsonNode> ours, SortedMap<String, JsonNode> theirs, Random random) {
        List<Apply> applies = new ArrayList<>(List.of(
                Apply.of(new ConfigurationChange(base, ours, "ours")),
                Apply.of(new ConfigurationChange(base, theirs, "theirs"))));
        while (!applies.stream().allMatch(ApplyTest::isEnded)) {
            int turn = random.nextInt(applies.size());
            if (!isEnded(applies.get(turn))) {
                applies.set(turn, step(applies.get(turn), store, fault(random)));
            }
        }
        return applies;
    }

    private static FakeStore.Fault fault(Random random) {
        if (random.nextInt(100) >= FAULT_PERCENT) {
            return FakeStore.Fault.NONE;
        }
        return FakeStore.Fault.values()[1 + random.nextInt(FakeStore.Fault.values().length - 1)];
    }

    private FakeStore storeWithBase() {
        FakeStore store = new FakeStore();
        store.write(Configurations.KEY, base.toText());
        return store;
    }

    private static Apply step(Apply apply, FakeStore store, FakeStore.Fault fault) {
        return apply.replied(store.call(((ApplyStep.CallStore) apply.step()).command(), fault, 0));
    }

    private static Document newest(FakeStore store) {
        return Document.parse(store.entry(Configurations.KEY).get().value()).get();
    }

    private static boolean isEnded(Apply apply) {
        return !(apply.step() instanceof ApplyStep.CallStore);
    }

    private static boolean isDone(Apply apply) {
        return apply.step() instanceof ApplyStep.Done;
    }

    private static List<ApplyStep> steps(List<Apply> applies) {
        return applies.stream().map(Apply::step).toList();
    }
}
