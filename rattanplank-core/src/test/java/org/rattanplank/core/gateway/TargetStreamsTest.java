package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests which streams count at an engine, and for how long. */
class TargetStreamsTest {
    private static final String DATA_CENTRE = "suva-hall";
    private static final RegionView HOSTS = RegionView.complete(Set.of("h1", "h2"));

    /** A stream of a hundred events. */
    private static final Work STREAM = new Work(500, 800, List.of(), Urgency.MIDDLE, 10_000);

    private static final long FIRST_EVENT_MILLIS = 1_000;

    /** The whole stream takes 5 s. */
    private static final long FAST_MILLIS = 50;

    /** The rest takes 9.8 s, of which 6.4 s are left; at the best inter-token latency it takes 3.9 s. */
    private static final long SLOW_MILLIS = 100;

    /** Even at the best inter-token latency the rest takes 9.8 s. */
    private static final long HOPELESS_MILLIS = 250;

    private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));
    private final TargetChooser chooser = TargetChooser.of("h1", pool, new Random(1));

    private GatewayTarget engine(String id) {
        pool.register(Samples.target(id, DATA_CENTRE, false, 0), 0);
        return pool.find(id).get();
    }

    private TargetChoice choice(Work work, long nowMillis) {
        return chooser.choose(Samples.MODEL_SERVICE, work, Set.of(), HOSTS, nowMillis)
                .get();
    }

    private InFlightRequest sent(Work work) {
        return InFlightRequest.of(chooser, choice(work, 0), Samples.MODEL_SERVICE, work, 0);
    }

    /** Returns a stream whose second event came so long after its first. */
    private InFlightRequest running(Work work, long interTokenMillis) {
        InFlightRequest stream = sent(work);
        stream.recordEvent(true, FIRST_EVENT_MILLIS);
        stream.recordEvent(true, FIRST_EVENT_MILLIS + interTokenMillis);
        return stream;
    }

    private void assertOneLeftAfter(Consumer<InFlightRequest> end) {
        GatewayTarget engine = engine("a");
        InFlightRequest first = running(STREAM, SLOW_MILLIS);
        running(STREAM, SLOW_MILLIS);
        long nowMillis = FIRST_EVENT_MILLIS + SLOW_MILLIS;
        assertEquals(new StreamStats(2, 2.0 * SLOW_MILLIS, 2), engine.streams().ownStats(nowMillis));

        end.accept(first);

        assertEquals(new StreamStats(1, SLOW_MILLIS, 1), engine.streams().ownStats(nowMillis));
    }

    private int laggingAt(long interTokenMillis) {
        GatewayTarget engine = engine("a");
        running(STREAM, interTokenMillis);
        return engine.streams().ownStats(FIRST_EVENT_MILLIS + interTokenMillis).lagging();
    }

    /** Guards against prompts being kept from an engine because of streams that have been answered completely. */
    @Test
    void shouldNotCountAStreamWhenItHasEnded() {
        assertOneLeftAfter(stream -> stream.recordEnd(true, FIRST_EVENT_MILLIS + SLOW_MILLIS));
    }

    /** Guards against the same for streams whose engine answered with a failure. */
    @Test
    void shouldNotCountAStreamWhenItHasFailed() {
        assertOneLeftAfter(stream -> stream.recordEnd(false, FIRST_EVENT_MILLIS + SLOW_MILLIS));
    }

    /** Guards against the same for streams whose caller has left, or whose connection broke. */
    @Test
    void shouldNotCountAStreamWhenItHasBeenReleased() {
        assertOneLeftAfter(InFlightRequest::release);
    }

    /** Guards against a stream that counts forever, as an event in transit arrives after its caller has left. */
    @Test
    void shouldNotCountAStreamWhenItsFirstEventComesAfterItsRelease() {
        GatewayTarget engine = engine("a");
        running(STREAM, SLOW_MILLIS);
        InFlightRequest late = sent(STREAM);
        late.release();

        late.recordEvent(true, FIRST_EVENT_MILLIS + SLOW_MILLIS);

        assertEquals(
                1, engine.streams().ownStats(FIRST_EVENT_MILLIS + SLOW_MILLIS).streams());
    }

    /** Guards against long streams that end without their last events, as no prompts are kept from their engine. */
    @Test
    void shouldCountAStreamAsLaggingWhenItsEventsTakeLongerThanItsTime() {
        assertEquals(1, laggingAt(SLOW_MILLIS));
    }

    /** Guards against prompts being rejected because of streams that end in time. */
    @Test
    void shouldNotCountAStreamAsLaggingWhenItIsOnTime() {
        assertEquals(0, laggingAt(FAST_MILLIS));
    }

    /** Guards against prompts being rejected because of streams that would end too late in any case. */
    @Test
    void shouldNotCountAStreamAsLaggingWhenItIsTooLateAtTheBestLatency() {
        assertEquals(0, laggingAt(HOPELESS_MILLIS));
    }

    /**
     * Guards against a host with few streams that takes their inter-token latency for that of the engine, which all
     * hosts observe together.
     */
    @Test
    void shouldCountAStreamAsLaggingWhenTheEngineIsSlowForOtherHosts() {
        GatewayTarget engine = engine("a");
        running(STREAM, FAST_MILLIS);
        engine.updateFromHost("h2", InFlightWork.NONE, new StreamStats(9, 9.0 * SLOW_MILLIS, 0));

        assertEquals(
                1, engine.streams().ownStats(FIRST_EVENT_MILLIS + FAST_MILLIS).lagging());
    }

    /** Guards against an engine that seems slow forever, as streams of a host ended or it disconnected. */
    @Test
    void shouldRemoveAnotherHostsStatsWhenItReportsNone() {
        TargetStreams streams = engine("a").streams();
        StreamStats third = new StreamStats(2, 2.0 * FAST_MILLIS, 0);
        streams.updateFromHost("h2", new StreamStats(9, 9.0 * SLOW_MILLIS, 4));
        streams.updateFromHost("h3", third);

        streams.updateFromHost("h2", StreamStats.NONE);

        assertEquals(third, streams.totalStats(0));
    }

    /** Guards against another host's streams being counted again with each of its reports. */
    @Test
    void shouldCountAnotherHostsStatsOnceWhenItReportsAgain() {
        TargetStreams streams = engine("a").streams();
        streams.updateFromHost("h2", new StreamStats(9, 9.0 * SLOW_MILLIS, 4));
        StreamStats newer = new StreamStats(3, 3.0 * FAST_MILLIS, 1);

        streams.updateFromHost("h2", newer);

        assertEquals(newer, streams.totalStats(0));
    }

    /**
     * Guards against long streams that overload an engine whose inter-token latency is unknown, as if it were the
     * fastest.
     */
    @Test
    void shouldSendALongStreamToAKnownFastEngineWhenAnUnknownOneHasRequestsAndTheMeanIsSlow() {
        InFlightWork some = new InFlightWork(4, PrefillBacklog.NONE, 0);
        engine("a").updateFromHost("h2", some, new StreamStats(4, 4.0 * 70, 0));
        engine("b").updateFromHost("h2", some, new StreamStats(4, 4.0 * 250, 0));
        engine("c").updateFromHost("h2", new InFlightWork(1, PrefillBacklog.NONE, 0), StreamStats.NONE);

        assertEquals("a", choice(STREAM, 0).target().id());
    }
}
