package org.rattanplank.core.gateway;

/**
 * How much later than usual a forwarded request arrives.
 *
 * <p>A request carries the time that is left when it is sent. On a crowded link, or at a host that is behind with its
 * work, it is read seconds later, and would be run for a caller that has long given up: one would see targets at work on
 * requests after their callers' time. No clock is shared between hosts, so the receiver reads its own: the sender says
 * which of the receiver's states it heard last, and how long ago. Stateless and thread safe.
 */
public final class ForwardDelay {
    private ForwardDelay() {}

    /**
     * Works out the delay.
     *
     * @param nowMillis the receiver's clock
     * @param echoedMillis the receiver's clock in the state that the sender heard last; zero if it heard none
     * @param echoAgeMillis how long before the sending the sender heard it
     * @param roundTripMillis the usual time there and back
     * @return milliseconds beyond half of the usual time there and back; never negative
     */
    public static long millis(long nowMillis, long echoedMillis, long echoAgeMillis, double roundTripMillis) {
        if (echoedMillis == 0) {
            return 0;
        }
        double underWayMillis = (double) nowMillis - echoedMillis - echoAgeMillis;
        return Math.max(0, Math.round(underWayMillis - roundTripMillis / 2));
    }
}
