package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StreamBackupTest {
    private static final String HALL = "suva-hall";
    private static final Work STREAM = new Work(800, 300, List.of(), Urgency.MIDDLE, 10_000);

    private final TargetPool pool = TargetPool.of(Set.of(HALL));
    private final TargetChooser chooser = TargetChooser.of("h1", pool, new Random(1));

    private static RouteRule route(RouteKind kind, boolean resumable) {
        return new RouteRule(
                "ask",
                "desk.example",
                "/a/",
                kind,
                resumable,
                List.of(new WeightedService(Samples.MODEL, 1)),
                1,
                10_000,
                1_000,
                400,
                1,
                Set.of(),
                false);
    }

    private GatewayTarget engine(String id) {
        pool.register(Samples.target(id, HALL, false, 0), 0);
        return pool.find(id).get();
    }

    private Option<StreamBackup> reserve(GatewayTarget primary, RouteRule route) {
        return chooser.reserveBackup(route, Samples.MODEL_SERVICE, STREAM, primary, 0);
    }

    private StreamBackup reserve(GatewayTarget primary) {
        return reserve(primary, route(RouteKind.STREAM, false)).get();
    }

    @Test
    void shouldReserveABackupOnlyWhenAStreamMustNotRunAgain() {
        GatewayTarget primary = engine("a");
        engine("b");

        assertTrue(reserve(primary, route(RouteKind.STREAM, false)).isDefined());
        assertTrue(reserve(primary, route(RouteKind.STREAM, true)).isEmpty());
        assertTrue(reserve(primary, route(RouteKind.UNSAFE, false)).isEmpty());
    }

    @Test
    void shouldReserveNoBackupWhenTheMechanismIsSwitchedOff() {
        GatewayTarget primary = engine("a");
        engine("b");
        Mechanisms without = new Mechanisms(Set.of(Mechanism.BACK_UP_STREAMS));
        TargetChooser withoutBackups = TargetChooser.of("h1", pool, new Random(1), without);

        assertTrue(withoutBackups
                .reserveBackup(route(RouteKind.STREAM, false), Samples.MODEL_SERVICE, STREAM, primary, 0)
                .isEmpty());
    }

    /** Guards against memory of ended streams that is accounted for ever, until no engine seems to have room. */
    @Test
    void shouldFreeTheMemoryOnceWhenReleasedTwice() {
        StreamBackup backup = reserve(engine("a"), engine("b"));

        assertEquals(1_100, backup.target().totalWork().kvCacheTokens());
        backup.release();
        backup.release();

        assertTrue(backup.target().totalWork().isNone());
    }

    /** Guards against a stream that runs at two engines, as it continues at its backup a second time. */
    @Test
    void shouldNotFailOverWhenItHasAlreadyFailedOver() {
        StreamBackup backup = reserve(engine("a"), engine("b"));
        backup.recordFailover();

        assertFalse(backup.mayFailOver(1));
        assertTrue(backup.target().totalWork().isNone());
    }

    /** Guards against requests to an engine of an evacuated data centre, which the operator forbids. */
    @Test
    void shouldNotFailOverWhenTheDataCentreOfTheBackupIsEvacuated() {
        StreamBackup backup = reserve(engine("a"), engine("b"));
        pool.evacuate(HALL, true, 1);

        assertFalse(backup.mayFailOver(2));
    }

    @Test
    void shouldNotFailOverWhenTheBackupIsColdAgain() {
        StreamBackup backup = reserve(engine("a"), engine("b"));
        backup.target().extendColdPeriod(3_000, 1);

        assertFalse(backup.mayFailOver(2));
    }

    /** Guards against giving up a request that only waits at its engine, where it has no backup yet. */
    @Test
    void shouldAbandonASilentEngineOnlyWhenTheStreamHasBegun() {
        GatewayTarget primary = engine("a");
        StreamBackup backup = reserve(primary, engine("b"));
        primary.recordActivity(1_000);

        assertFalse(backup.isPrimaryStalled(Option.none(), 4_000));
        assertFalse(backup.isPrimaryStalled(Option.some(1_000L), 1_900));
        assertTrue(backup.isPrimaryStalled(Option.some(1_000L), 4_000));
    }

    /** Guards against giving up a stream that pauses while its engine serves others, as after a preemption. */
    @Test
    void shouldNotAbandonAnEngineWhenItServesOtherStreams() {
        GatewayTarget primary = engine("a");
        StreamBackup backup = reserve(primary, engine("b"));
        primary.recordActivity(3_500);

        assertFalse(backup.isPrimaryStalled(Option.some(1_000L), 4_000));
    }

    private StreamBackup reserve(GatewayTarget primary, GatewayTarget other) {
        StreamBackup backup = reserve(primary);
        assertEquals(other, backup.target());
        return backup;
    }
}
