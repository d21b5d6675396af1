package org.rattanplank.bench.route;

import java.util.OptionalLong;

/** What happens in one run. Times are virtual. */
enum Scenario {
    /** Daily peaks, offset between regions by a third of a day; a day is squeezed into four minutes. */
    OFFSET_PEAKS {
        @Override
        double load(int region, long atMillis) {
            return 0.7 + 0.5 * Math.sin(2 * Math.PI * (atMillis / 240_000.0 + region / 3.0));
        }
    },
    /** The first region has ten times the capacity; the others' callers ask for more than they have. */
    TENFOLD_CAPACITY {
        @Override
        double load(int region, long atMillis) {
            return region == 0 ? 0.3 : 1.4;
        }

        @Override
        int capacityFactor(int region) {
            return region == 0 ? 10 : 1;
        }
    },
    /** The first region loses half of its targets for a minute and gets them back with cold caches. */
    HALF_LOST {
        @Override
        void plan(Simulation run) {
            run.faults().loseHalf(0, FAULT_MILLIS, FAULT_END_MILLIS);
        }

        @Override
        OptionalLong faultEndMillis() {
            return OptionalLong.of(FAULT_END_MILLIS);
        }
    },
    /** The last region asks for more than it has and is cut off from the others for a minute. */
    CUT_OFF {
        @Override
        double load(int region, long atMillis) {
            return region == 2 ? 1.15 : 0.55;
        }

        @Override
        void plan(Simulation run) {
            run.faults().cutOff(2, FAULT_MILLIS, FAULT_END_MILLIS);
        }

        @Override
        OptionalLong faultEndMillis() {
            return OptionalLong.of(FAULT_END_MILLIS);
        }
    },
    /** Load reports come five seconds late. */
    LATE_REPORTS {
        @Override
        long reportLagMillis() {
            return 5_000;
        }
    },
    /** One account sends half of all requests, and together they are more than the targets can take. */
    ONE_HEAVY_ACCOUNT {
        @Override
        double load(int region, long atMillis) {
            return 1.4;
        }

        @Override
        double heavyPart() {
            return 0.5;
        }
    },
    /** The first region loses half of its targets for twenty seconds, and callers without an answer repeat at once. */
    RETRY_STORM {
        @Override
        double load(int region, long atMillis) {
            return 0.75;
        }

        @Override
        void plan(Simulation run) {
            run.faults().loseHalf(0, FAULT_MILLIS, FAULT_MILLIS + 20_000);
        }

        @Override
        OptionalLong faultEndMillis() {
            return OptionalLong.of(FAULT_MILLIS + 20_000);
        }

        @Override
        int repeatsByCaller() {
            return 5;
        }
    };

    /** How long callers ask in one run. */
    static final long RUN_MILLIS = 240_000;

    private static final long FAULT_MILLIS = 80_000;
    private static final long FAULT_END_MILLIS = 140_000;

    /** The offered load of a region, relative to what its targets can take at the nominal run time. */
    double load(int region, long atMillis) {
        return 0.65;
    }

    int capacityFactor(int region) {
        return 1;
    }

    long reportLagMillis() {
        return 200;
    }

    double heavyPart() {
        return 0;
    }

    int repeatsByCaller() {
        return 0;
    }

    void plan(Simulation run) {}

    OptionalLong faultEndMillis() {
        return OptionalLong.empty();
    }

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
