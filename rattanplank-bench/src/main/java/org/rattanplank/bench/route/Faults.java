package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.List;

/** Plans the faults of a run. Confined to one thread. */
final class Faults {
    /** How far the platform's list of hosts lags behind. */
    private static final long LIST_LAG_MILLIS = 3_000;

    private static final long BACK_MILLIS = 500;

    private final Simulation run;

    Faults(Simulation run) {
        this.run = run;
    }

    /** A region loses half of each of its services' targets, rounded up where a service has more than one. */
    void loseHalf(int region, long fromMillis, long untilMillis) {
        List<StandInTarget> lost = new ArrayList<>();
        for (ServiceShape service : List.of(run.deployment().model, run.deployment().plain)) {
            List<StandInTarget> all = run.targets(region, service);
            lost.addAll(all.size() == 1 ? List.of() : all.subList(0, (all.size() + 1) / 2));
        }
        run.time().after(fromMillis, () -> {
            lost.forEach(StandInTarget::fail);
            run.time().after(LIST_LAG_MILLIS, () -> run.list(region));
        });
        run.time().after(untilMillis, () -> {
            lost.forEach(StandInTarget::restore);
            run.time().after(LIST_LAG_MILLIS, () -> run.list(region));
        });
    }

    /** A region and all others lose each other. */
    void cutOff(int region, long fromMillis, long untilMillis) {
        run.time().after(fromMillis, () -> {
            run.cut(region, true);
            run.time().after(Simulation.LINK_TIMEOUT_MILLIS, () -> run.loseLinks(region));
        });
        run.time().after(untilMillis + BACK_MILLIS, () -> run.cut(region, false));
    }
}
