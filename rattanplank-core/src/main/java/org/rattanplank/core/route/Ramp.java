package org.rattanplank.core.route;

/**
 * A fraction between zero and one that approaches its goal at a bounded rate.
 *
 * <p>Invariant: within any second the value changes by at maxChange the configured rate. Guarded by the router's lock.
 */
final class Ramp {
    private final double perMillisecond;
    private double value;
    private double goal;
    private long atMillis;

    private Ramp(double value, double perSecond, long atMillis) {
        this.perMillisecond = perSecond / 1_000;
        this.value = value;
        this.goal = value;
        this.atMillis = atMillis;
    }

    static Ramp at(double value, double perSecond, long nowMillis) {
        return new Ramp(value, perSecond, nowMillis);
    }

    Ramp rampTo(double newGoal, long nowMillis) {
        value = value(nowMillis);
        atMillis = Math.max(atMillis, nowMillis);
        goal = newGoal;
        return this;
    }

    double value(long nowMillis) {
        if (value == goal) {
            return value;
        }
        double maxChange = perMillisecond * Math.max(0, nowMillis - atMillis);
        return value < goal ? Math.min(goal, value + maxChange) : Math.max(goal, value - maxChange);
    }
}
