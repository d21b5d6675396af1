package org.rattanplank.core.intent;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.member.PeerView;
import org.rattanplank.core.store.StoreCommand;

import static org.junit.jupiter.api.Assertions.assertEquals;

class StoreReadSchedulerTest {
    private static final String KEY = "configuration";

    private final StoreReadScheduler scheduler = new StoreReadScheduler("suva-1", new SplittableRandom(1));

    /** Guards against a watch that waits behind the store, which has come back from an older copy, and misses its changes. */
    @Test
    void shouldWatchFromTheLowerRevisionWhenTheStoreHasComeBackFromAnOlderCopy() {
        scheduler.readSucceeded(44, 2, 0);
        assertEquals(List.of(new StoreCommand.Watch(KEY, 45)), watches(0));

        scheduler.readSucceeded(40, 1, 5_000);

        assertEquals(List.of(new StoreCommand.Watch(KEY, 41)), watches(5_000));
    }

    /** Guards against a watch that is opened again after each read. */
    @Test
    void shouldKeepItsWatchWhenReadsShowHigherRevisions() {
        scheduler.readSucceeded(44, 2, 0);
        watches(0);

        scheduler.readSucceeded(50, 2, 5_000);

        assertEquals(List.of(), watches(5_000));
    }

    private List<StoreCommand> watches(long nowMillis) {
        return scheduler.tick(KEY, PeerView.empty(), nowMillis).stream()
                .filter(StoreCommand.Watch.class::isInstance)
                .toList();
    }
}
