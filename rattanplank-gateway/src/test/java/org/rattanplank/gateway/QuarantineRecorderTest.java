package org.rattanplank.gateway;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.pass.RequestQuarantine;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.UnsupportedStore;

import static org.junit.jupiter.api.Assertions.assertEquals;

class QuarantineRecorderTest {
    private static final Fingerprint REQUEST = new Fingerprint(1, 2);
    private static final List<CrashEvidence> CRASHES = List.of(
            new CrashEvidence("a#1", REQUEST, false, 0),
            new CrashEvidence("b#1", REQUEST, false, 0),
            new CrashEvidence("c#1", REQUEST, false, 0));
    private static final long LONG_AFTER_MILLIS = 60_000;

    private long nowMillis = 1_000;
    private final EventLog log = EventLog.start("h1", new ByteArrayOutputStream(), System::nanoTime);
    private final RequestQuarantine quarantine = new RequestQuarantine("h1", () -> nowMillis, log);
    private final CountingStore store = new CountingStore();
    private final QuarantineRecorder recorder =
            new QuarantineRecorder(quarantine, store, store, () -> nowMillis, new Random(1), log);

    @BeforeEach
    void listen() {
        quarantine.onChange(recorder);
    }

    @AfterEach
    void close() {
        log.close();
    }

    private void advance(long millis) {
        nowMillis += millis;
        recorder.tick(nowMillis);
    }

    /** Guards against a quarantine that no host records, as each of two has noticed a part of the crashes. */
    @Test
    void shouldRecordAQuarantineOfAnotherHostWhenTheStoreLacksIt() {
        quarantine.merge("h2", CRASHES);

        advance(1_999);
        int early = store.writes.size();
        advance(LONG_AFTER_MILLIS);

        assertEquals(0, early);
        assertEquals(List.of(REQUEST), store.writes);
    }

    /** Guards against a store that is flooded, as every host records the same quarantine. */
    @Test
    void shouldNotRecordAQuarantineOfAnotherHostWhenTheStoreHasIt() {
        quarantine.merge("h2", CRASHES);
        recorder.mergeStored(REQUEST, CRASHES);

        advance(LONG_AFTER_MILLIS);

        assertEquals(List.of(), store.writes);
    }

    @Test
    void shouldRecordAtOnceWhenThisHostLiftsAQuarantine() {
        recorder.mergeStored(REQUEST, CRASHES);
        quarantine.lift(REQUEST.text());

        advance(0);
        advance(LONG_AFTER_MILLIS);

        assertEquals(List.of(REQUEST), store.writes);
    }

    /** Guards against a quarantine that ends with a restart of all hosts, as the store came back without its record. */
    @Test
    void shouldRecordAgainWhenTheStoreHasLostItsRecord() {
        recorder.mergeStored(REQUEST, CRASHES);

        recorder.recordRemoved(REQUEST);
        advance(LONG_AFTER_MILLIS);

        assertEquals(List.of(REQUEST), store.writes);
    }

    /** Guards against a record that is written again and again, although its evidence has expired. */
    @Test
    void shouldRecordNothingWhenThereIsNoEvidenceForTheRemovedRecord() {
        recorder.recordRemoved(REQUEST);
        advance(LONG_AFTER_MILLIS);

        assertEquals(List.of(), store.writes);
    }

    @Test
    void shouldWriteAgainWhenTheStoreRefuses() {
        store.refuses = true;
        quarantine.merge("h2", CRASHES);
        advance(LONG_AFTER_MILLIS);
        store.refuses = false;

        advance(1_999);
        int early = store.writes.size();
        advance(1);

        assertEquals(0, early);
        assertEquals(List.of(REQUEST), store.writes);
    }

    /** A store that records the writes that it takes. */
    private static final class CountingStore extends UnsupportedStore {
        private final List<Fingerprint> writes = new ArrayList<>();
        private boolean refuses;

        @Override
        public void grantLease(long millis, Consumer<Either<StoreFailure, Long>> reply) {
            reply.accept(refuses ? Either.left(StoreFailure.REFUSED) : Either.right(1L));
        }

        @Override
        public void put(
                String key,
                byte[] value,
                long lease,
                Option<Long> expectedRevision,
                Consumer<Either<StoreFailure, Long>> reply) {
            writes.add(Fingerprint.parse(key));
            reply.accept(Either.right(1L));
        }

        @Override
        public StoreItem write(Fingerprint fingerprint, List<CrashEvidence> evidence) {
            return new StoreItem(fingerprint.text(), new byte[0], 0, false);
        }
    }
}
