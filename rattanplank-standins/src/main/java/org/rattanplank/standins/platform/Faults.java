package org.rattanplank.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that the platform injects. Immutable and thread safe.
 *
 * @param down whether the store, the host list and the weight store reset each connection
 * @param storeDown whether the store alone resets each connection
 * @param slowMillis the additional latency of each call to the store
 * @param responsesToLose how many of the next writes take effect without their responses being sent
 * @param silentWatches whether watches stay open without delivering any event
 * @param staleReads whether reads return the contents of the store at the time at which this was set
 * @param listLagMillis the lag of the host list
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
