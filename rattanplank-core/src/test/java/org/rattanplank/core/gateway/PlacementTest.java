package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class PlacementTest {
    private static final String OWN = "suva";
    private static final String OTHER = "labasa";
    private static final String DATA_CENTRE = "suva-hall";
    private static final long UNTIL_MILLIS = 3_000;
    private static final double ROUND_TRIP_MILLIS = 160;
    private static final Work LONG_STREAM = new Work(500, 800, List.of(), Urgency.MIDDLE, 10_000);

    private final TargetPool pool = TargetPool.of(Set.of(DATA_CENTRE));
    private final TargetChooser chooser = TargetChooser.of("h1", pool, new Random(1));
    private final RegionLoads loads = new RegionLoads();

    /** Returns the region of a long stream, given the inter-token latency in the own and in the other region. */
    private Option<String> regionOfLongStream(double ownInterTokenMillis, double otherInterTokenMillis) {
        pool.register(Samples.target("a", DATA_CENTRE, false, 0), 0);
        pool.find("a").get().recordEventInterval(ownInterTokenMillis, 0);
        loads.update(OTHER, Samples.MODEL, Urgency.MIDDLE, 40, 0, UNTIL_MILLIS);
        loads.update(OTHER, Samples.MODEL, new RegionStreamStats(otherInterTokenMillis, 0));
        RouteRule route = Samples.route("ask", "desk.example", "/a/", Set.of());
        ClusterView clusterView =
                new ClusterView(OWN, RegionView.complete(Set.of("h1")), Map.of(OTHER, ROUND_TRIP_MILLIS), Set.of());
        return Placement.of(
                        new PlacementRequest(route, Samples.MODEL_SERVICE, LONG_STREAM, Set.of()),
                        clusterView,
                        chooser,
                        loads,
                        Mechanisms.ALL,
                        1)
                .forwardRegion();
    }

    /**
     * Guards against long streams that begin at once locally and end too late, while another region would end them in
     * time.
     */
    @Test
    void shouldForwardALongStreamWhenOnlyTheOtherRegionEndsItInTime() {
        assertEquals(Option.of(OTHER), regionOfLongStream(250, 60));
    }

    /** Guards against long streams sent to a region that begins them as soon and ends them later. */
    @Test
    void shouldServeALongStreamLocallyWhenTheOtherRegionIsSlower() {
        assertEquals(Option.none(), regionOfLongStream(100, 250));
    }
}
