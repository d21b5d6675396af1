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

class ApplyOperationTest {
    private static final int RUN_COUNT = 3_000;
    private static final int FAULT_PERCENT = 25;

    private final Document base = Document.empty().next(TestIntentFiles.retiring("a", "b"), "c0");

    @Test
    void shouldContainBothChangesWhenOneOperatorAddsAndTheOtherRenames() {
        // Guards against overwriting the newest document with an operator's own folder. Both operators read generation
        // 1 and write; the store accepts one write and loses its reply; both retry. A renamed file would be back under
        // its old name, or the added one would be missing, although both operations report success.
        SortedMap<String, JsonNode> renamed = TestIntentFiles.retiring("a");
        renamed.put("z", TestIntentFiles.retire("b"));
        race(TestIntentFiles.retiring("a", "b", "c"), renamed, Set.of("a", "c", "z"));
    }

    @Test
    void shouldContainBothChangesWhenOneOperatorAddsAndTheOtherRemoves() {
        // Guards against the same overwrite as above: a removed retire intent would reappear, and a host that should
        // stay would leave.
        race(TestIntentFiles.retiring("a", "b", "c"), TestIntentFiles.retiring("a"), Set.of("a", "c"));
    }

    @Test
    void shouldReportConflictToOneOperatorWhenBothChangeOneFile() {
        // Guards against last-writer-wins: both operators change one file of generation 1 and replies are lost. Both
        // operations would report success, and one of the two contents would be lost.
        for (int seed = 0; seed < RUN_COUNT; seed++) {
            SortedMap<String, JsonNode> ours = TestIntentFiles.retiring("a", "b");
            ours.put("a", TestIntentFiles.retire("a", "ours"));
            SortedMap<String, JsonNode> theirs = TestIntentFiles.retiring("a", "b");
            theirs.put("a", TestIntentFiles.retire("a", "theirs"));
            FakeStore store = storeWithBase();
            List<ApplyOperation> finished = run(store, ours, theirs, new Random(seed));
            long done = finished.stream().filter(ApplyOperationTest::isDone).count();
            long conflicts = finished.stream()
                    .filter(operation -> operation.state() instanceof ApplyState.Conflicting)
                    .count();
            boolean anyFailed = finished.stream().anyMatch(operation -> operation.state() instanceof ApplyState.Failed);
            assertTrue(anyFailed || (done == 1 && conflicts == 1), "seed " + seed + ": " + states(finished));
            String reason = newest(store).files().get("a").path("reason").asText();
            assertEquals(isDone(finished.get(0)), "ours".equals(reason), "seed " + seed + ": " + states(finished));
        }
    }

    @Test
    void shouldRecognizeItsOwnChangeWhenOthersAppliedAfterTheLostReply() {
        // Guards against comparing only with the identity of the latest change: a write takes effect, its reply is
        // lost, another operator changes the same file, then the first operation reads the store. The operator would
        // get a conflict with their own file.
        FakeStore store = storeWithBase();
        ApplyOperation operation =
                ApplyOperation.of(new ConfigurationChange(base, TestIntentFiles.retiring("a", "b", "c"), "mine"));
        operation = advance(operation, store, FakeStore.Fault.NONE);
        operation = advance(operation, store, FakeStore.Fault.ANSWER_LOST);
        Document mine = newest(store);
        SortedMap<String, JsonNode> later = TestIntentFiles.retiring("a", "b", "c");
        later.put("c", TestIntentFiles.retire("c", "changed later"));
        store.write(ConfigurationManager.KEY, mine.next(later, "other").toText());
        operation = advance(operation, store, FakeStore.Fault.NONE);
        assertEquals(
                2, assertInstanceOf(ApplyState.Done.class, operation.state()).generation());
    }

    @Test
    void shouldReadAgainWhenTheStoreReturnsAnOlderGenerationThanLastSeen() {
        // Guards against treating a stale read as the newest document: the operator saw generation 2, and a lagging
        // member of the store returns generation 1. The operator would get a conflict although nobody else changed
        // anything.
        FakeStore store = storeWithBase();
        long old = store.revision();
        Document second = base.next(TestIntentFiles.retiring("a", "b", "c"), "c1");
        store.write(ConfigurationManager.KEY, second.toText());
        SortedMap<String, JsonNode> desired = TestIntentFiles.retiring("a", "b", "c");
        desired.put("c", TestIntentFiles.retire("c", "mine"));
        ApplyOperation operation = ApplyOperation.of(new ConfigurationChange(second, desired, "mine"));
        operation = operation.storeReplied(store.staleGet(ConfigurationManager.KEY, old));
        while (!isFinished(operation)) {
            operation = advance(operation, store, FakeStore.Fault.NONE);
        }
        assertEquals(
                3, assertInstanceOf(ApplyState.Done.class, operation.state()).generation());
    }

    @Test
    void shouldApplyNothingWhenTheMergedDocumentHasFaults() {
        FakeStore store = storeWithBase();
        SortedMap<String, JsonNode> desired = TestIntentFiles.retiring("a", "b");
        desired.put("c", TestIntentFiles.retire("floor", "x").deepCopy());
        ((com.fasterxml.jackson.databind.node.ObjectNode) desired.get("c")).put("kind", "limit");
        ApplyOperation operation = ApplyOperation.of(new ConfigurationChange(base, desired, "mine"));
        operation = advance(operation, store, FakeStore.Fault.NONE);
        assertInstanceOf(ApplyState.Rejected.class, operation.state());
        assertEquals(1, newest(store).generation());
    }

    @Test
    void shouldReportThatNothingWasAppliedWhenTheStoreIsDown() {
        ApplyOperation operation =
                ApplyOperation.of(new ConfigurationChange(base, TestIntentFiles.retiring("c"), "mine"));
        while (!isFinished(operation)) {
            operation = operation.storeReplied(new StoreReply.Unavailable("down"));
        }
        assertTrue(assertInstanceOf(ApplyState.Failed.class, operation.state()).definitelyNotApplied());
    }

    private void race(SortedMap<String, JsonNode> ours, SortedMap<String, JsonNode> theirs, Set<String> expected) {
        for (int seed = 0; seed < RUN_COUNT; seed++) {
            FakeStore store = storeWithBase();
            List<ApplyOperation> finished = run(store, ours, theirs, new Random(seed));
            boolean bothDone = finished.stream().allMatch(ApplyOperationTest::isDone);
            boolean anyFailed = finished.stream().anyMatch(operation -> operation.state() instanceof ApplyState.Failed);
            assertTrue(bothDone || anyFailed, "seed " + seed + ": " + states(finished));
            if (bothDone) {
                assertEquals(expected, newest(store).files().keySet(), "seed " + seed);
                assertEquals(3, newest(store).generation(), "seed " + seed + ": each change makes one generation");
            }
        }
    }

    private List<ApplyOperation> run(
            FakeStore store, SortedMap<String, JsonNode> ours, SortedMap<String, JsonNode> theirs, Random random) {
        List<ApplyOperation> operations = new ArrayList<>(List.of(
                ApplyOperation.of(new ConfigurationChange(base, ours, "ours")),
                ApplyOperation.of(new ConfigurationChange(base, theirs, "theirs"))));
        while (!operations.stream().allMatch(ApplyOperationTest::isFinished)) {
            int turn = random.nextInt(operations.size());
            if (!isFinished(operations.get(turn))) {
                operations.set(turn, advance(operations.get(turn), store, fault(random)));
            }
        }
        return operations;
    }

    private static FakeStore.Fault fault(Random random) {
        if (random.nextInt(100) >= FAULT_PERCENT) {
            return FakeStore.Fault.NONE;
        }
        return FakeStore.Fault.values()[1 + random.nextInt(FakeStore.Fault.values().length - 1)];
    }

    private FakeStore storeWithBase() {
        FakeStore store = new FakeStore();
        store.write(ConfigurationManager.KEY, base.toText());
        return store;
    }

    private static ApplyOperation advance(ApplyOperation operation, FakeStore store, FakeStore.Fault fault) {
        return operation.storeReplied(store.call(((ApplyState.CallStore) operation.state()).command(), fault, 0));
    }

    private static Document newest(FakeStore store) {
        return Document.parse(store.entry(ConfigurationManager.KEY).get().value())
                .get();
    }

    private static boolean isFinished(ApplyOperation operation) {
        return !(operation.state() instanceof ApplyState.CallStore);
    }

    private static boolean isDone(ApplyOperation operation) {
        return operation.state() instanceof ApplyState.Done;
    }

    private static List<ApplyState> states(List<ApplyOperation> operations) {
        return operations.stream().map(ApplyOperation::state).toList();
    }
}
