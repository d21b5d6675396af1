package org.rattanplank.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * How the platform misbehaves. Immutable and thread safe.
 *
 * @param down whether the store, the list of hosts and the weight store reset each connection
 * @param storeDown whether the store alone does
 * @param slowMillis how much later each call to the store is answered
 * @param responsesToLose how many of the next writes take effect while their answers are lost
 * @param silentWatches whether watches stay open and tell nothing
 * @param staleReads whether reads show the store as it was when this was set
 * @param listLagMillis how old the list of hosts is
 */
record Faults(
        boolean down,
        boolean storeDown,
        long slowMillis,
        int responsesToLose,
        boolean silentWatches,
        boolean staleReads,
        long listLagMillis) {

    static Faults none(long listLagMillis) {
        return new Faults(false, false, 0, 0, false, false, listLagMillis);
    }

    boolean isStoreDown() {
        return down || storeDown;
    }

    Faults updated(JsonNode change) {
        return new Faults(
                change.path("down").asBoolean(down),
                change.path("storeDown").asBoolean(storeDown),
                change.path("slowMillis").asLong(slowMillis),
                change.path("loseAnswers").asInt(responsesToLose),
                change.path("silentWatches").asBoolean(silentWatches),
                change.path("staleReads").asBoolean(staleReads),
                change.path("listLagMillis").asLong(listLagMillis));
    }

    Faults withOneLostResponseFewer() {
        return new Faults(down, storeDown, slowMillis, responsesToLose - 1, silentWatches, staleReads, listLagMillis);
    }
}
