package org.rattanplank.core.gateway;

/**
 * Computes how much later than usual a forwarded request arrives.
 *
 * <p>A request carries the time that remained when it was sent. On a congested link, or at a host whose event loop is
 * late, it is read seconds later and would be run for a caller that has timed out; symptom: targets process requests
 * whose callers have left. Hosts share no clock, so the receiver uses its own: the sender states the last state report
 * that it has received from the receiver, and how long ago. Stateless and thread safe.
 */
public final class ForwardDelay {
    private ForwardDelay() {}

    /**
     * Computes the delay.
     *
     * @param nowMillis the receiver's clock
     * @param echoedMillis the receiver's clock in the last state report that the sender received; zero if it received
     *     none
     * @param echoAgeMillis how long before sending the request the sender received that report
     * @param roundTripMillis the usual network round trip
     * @return milliseconds beyond half of the usual round trip; never negative
     */
    public static long delayMillis(long nowMillis, long echoedMillis, long echoAgeMillis, double roundTripMillis) {
        if (echoedMillis == 0) {
            return 0;
        }
        double transitMillis = (double) nowMillis - echoedMillis - echoAgeMillis;
        return Math.max(0, Math.round(transitMillis - roundTripMillis / 2));
    }
}
