package org.rattanplank.bench.claim;

import java.util.List;

/** What happens in the middle of a run. */
enum Scenario {
    /** Nothing. */
    ALL_WELL {
        @Override
        void strike(ModelStore store, BookingLoad load, List<String> hosts) {}
    },
    /** The store goes out, and comes back when the run has passed two thirds. */
    STORE_OUT {
        @Override
        void strike(ModelStore store, BookingLoad load, List<String> hosts) {
            store.out(true);
        }
    },
    /** One host is killed. */
    HOST_KILLED {
        @Override
        void strike(ModelStore store, BookingLoad load, List<String> hosts) {
            load.kill(hosts.get(0));
        }
    },
    /** The store goes out and one host is killed in the same moment. */
    STORE_OUT_AND_HOST_KILLED {
        @Override
        void strike(ModelStore store, BookingLoad load, List<String> hosts) {
            store.out(true);
            load.kill(hosts.get(0));
        }
    };

    abstract void strike(ModelStore store, BookingLoad load, List<String> hosts);
}
