package org.rattanplank.bench.claim;

import java.util.List;

/** The fault that is injected after the first third of a run. */
enum Scenario {
    /** No fault. */
    ALL_WELL {
        @Override
        void injectFault(ModelStore store, BookingLoad load, List<String> hosts) {}
    },
    /** The store becomes unavailable until two thirds of the run have passed. */
    STORE_OUT {
        @Override
        void injectFault(ModelStore store, BookingLoad load, List<String> hosts) {
            store.unavailable(true);
        }
    },
    /** One host is killed. */
    HOST_KILLED {
        @Override
        void injectFault(ModelStore store, BookingLoad load, List<String> hosts) {
            load.kill(hosts.get(0));
        }
    },
    /** The store becomes unavailable and one host is killed at the same time. */
    STORE_OUT_AND_HOST_KILLED {
        @Override
        void injectFault(ModelStore store, BookingLoad load, List<String> hosts) {
            store.unavailable(true);
            load.kill(hosts.get(0));
        }
    };

    abstract void injectFault(ModelStore store, BookingLoad load, List<String> hosts);
}
