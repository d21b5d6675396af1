package org.rattanplank.bench.route;

import java.util.OptionalLong;

/** The load and the faults of a run. Times are virtual. */
enum Scenario {
    /** Daily peaks, offset between regions by a third of a day; a day is compressed to four minutes. */
    OFFSET_PEAKS {
        @Override
        double load(int region, long atMillis) {
            return 0.7 + 0.5 * Math.sin(2 * Math.PI * (atMillis / 240_000.0 + region / 3.0));
        }
    },
    /** The first region has ten times the capacity; the load of the other regions exceeds their capacity. */
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
    /** Half of the targets of the first region fail for a minute and return with empty caches. */
    HALF_LOST {
        @Override
        void scheduleFaults(Simulation simulation) {
            simulation.faults().failHalf(0, FAULT_START_MILLIS, FAULT_END_MILLIS);
        }

        @Override
        OptionalLong faultEndMillis() {
            return OptionalLong.of(FAULT_END_MILLIS);
        }
    },
    /** The load of the last region exceeds its capacity, and it is partitioned from the others for a minute. */
    CUT_OFF {
        @Override
        double load(int region, long atMillis) {
            return region == 2 ? 1.15 : 0.55;
        }

        @Override
        void scheduleFaults(Simulation simulation) {
            simulation.faults().partition(2, FAULT_START_MILLIS, FAULT_END_MILLIS);
        }

        @Override
        OptionalLong faultEndMillis() {
            return OptionalLong.of(FAULT_END_MILLIS);
        }
    },
    /** Load reports are delayed by five seconds. */
    LATE_REPORTS {
        @Override
        long reportLagMillis() {
            return 5_000;
        }
    },
    /** One client account sends half of all requests, and the total load exceeds the capacity. */
    ONE_HEAVY_ACCOUNT {
        @Override
        double load(int region, long atMillis) {
            return 1.4;
        }

        @Override
        double heavyAccountShare() {
            return 0.5;
        }
    },
    /** Half of the targets of the first region fail for twenty seconds, and callers retry failed requests at once. */
    RETRY_STORM {
        @Override
        double load(int region, long atMillis) {
            return 0.75;
        }

        @Override
        void scheduleFaults(Simulation simulation) {
            simulation.faults().failHalf(0, FAULT_START_MILLIS, FAULT_START_MILLIS + 20_000);
        }

        @Override
        OptionalLong faultEndMillis() {
            return OptionalLong.of(FAULT_START_MILLIS + 20_000);
        }

        @Override
        int maxRetriesPerCaller() {
            return 5;
        }
    };

    /** The time during which callers send requests. */
    static final long RUN_MILLIS = 240_000;

    private static final long FAULT_START_MILLIS = 80_000;
    private static final long FAULT_END_MILLIS = 140_000;

    /** Returns the offered load of a region, relative to the capacity of its targets at the nominal service time. */
    double load(int region, long atMillis) {
        return 0.65;
    }

    int capacityFactor(int region) {
        return 1;
    }

    long reportLagMillis() {
        return 200;
    }

    double heavyAccountShare() {
        return 0;
    }

    int maxRetriesPerCaller() {
        return 0;
    }

    void scheduleFaults(Simulation simulation) {}

    OptionalLong faultEndMillis() {
        return OptionalLong.empty();
    }

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
