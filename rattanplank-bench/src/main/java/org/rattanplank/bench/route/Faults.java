package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.List;

/** Schedules the faults of a run. Confined to one thread. */
final class Faults {
    /** The delay with which the platform's host list reflects a change. */
    private static final long HOST_LIST_LAG_MILLIS = 3_000;

    private static final long RECONNECT_DELAY_MILLIS = 500;

    private final Simulation simulation;

    Faults(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Fails half of the targets of each service in a region, rounded up; a service with one target keeps it. */
    void failHalf(int region, long fromMillis, long untilMillis) {
        List<StandInTarget> failed = new ArrayList<>();
        for (ServiceProfile service : List.of(simulation.deployment().model, simulation.deployment().plain)) {
            List<StandInTarget> all = simulation.targets(region, service);
            failed.addAll(all.size() == 1 ? List.of() : all.subList(0, (all.size() + 1) / 2));
        }
        simulation.scheduler().schedule(fromMillis, () -> {
            failed.forEach(StandInTarget::fail);
            simulation.scheduler().schedule(HOST_LIST_LAG_MILLIS, () -> simulation.publishHostList(region));
        });
        simulation.scheduler().schedule(untilMillis, () -> {
            failed.forEach(StandInTarget::restore);
            simulation.scheduler().schedule(HOST_LIST_LAG_MILLIS, () -> simulation.publishHostList(region));
        });
    }

    /** Partitions a region from all other regions. */
    void partition(int region, long fromMillis, long untilMillis) {
        simulation.scheduler().schedule(fromMillis, () -> {
            simulation.setPartitioned(region, true);
            simulation.scheduler().schedule(Simulation.LINK_TIMEOUT_MILLIS, () -> simulation.disconnectLinks(region));
        });
        simulation
                .scheduler()
                .schedule(untilMillis + RECONNECT_DELAY_MILLIS, () -> simulation.setPartitioned(region, false));
    }
}
