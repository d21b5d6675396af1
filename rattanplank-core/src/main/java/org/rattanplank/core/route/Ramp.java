package org.rattanplank.core.route;

/**
 * A share between zero and one that moves towards its aim at a bounded rate, so that a change takes hold gradually.
 *
 * <p>Invariant: in any second it moves by at most its rate. Confined to the router's lock.
 */
final class Ramp {
    private final double perMillisecond;
    private double value;
    private double aim;
    private long atMillis;

    private Ramp(double value, double perSecond, long atMillis) {
        this.perMillisecond = perSecond / 1_000;
        this.value = value;
        this.aim = value;
        this.atMillis = atMillis;
    }

    static Ramp at(double value, double perSecond, long nowMillis) {
        return new Ramp(value, perSecond, nowMillis);
    }

    Ramp towards(double newAim, long nowMillis) {
        value = value(nowMillis);
        atMillis = Math.max(atMillis, nowMillis);
        aim = newAim;
        return this;
    }

    double value(long nowMillis) {
        if (value == aim) {
            return value;
        }
        double most = perMillisecond * Math.max(0, nowMillis - atMillis);
        return value < aim ? Math.min(aim, value + most) : Math.max(aim, value - most);
    }
}
