package org.rattanplank.bench.route;

import io.vavr.control.Option;
import org.rattanplank.core.request.Request;

/**
 * One caller with one request; in the retry storm it repeats at once, whatever it was told. Confined to one thread.
 *
 * <p>Invariant: it records one outcome.
 */
final class Caller {
    private static final long REPEAT_MILLIS = 10;

    private final Simulation run;
    private final Arrival arrival;
    private int repeatsLeft;
    private int asked;

    Caller(Simulation run, Arrival arrival, int repeats) {
        this.run = run;
        this.arrival = arrival;
        this.repeatsLeft = repeats;
    }

    void ask() {
        run.results().asked();
        new Call(run, run.entryHost(arrival), arrival, request(), new Reply() {
                    @Override
                    public void answered(int region, long firstTokenMillis) {
                        run.results()
                                .answered(
                                        arrival,
                                        region,
                                        firstTokenMillis,
                                        run.time().nowMillis());
                    }

                    @Override
                    public void notRun(long retryAfterMillis) {
                        if (!repeats()) {
                            run.results().refused(arrival);
                        }
                    }

                    @Override
                    public void unknown() {
                        if (!repeats()) {
                            run.results().late(arrival);
                        }
                    }
                })
                .start();
    }

    private boolean repeats() {
        long again = run.time().nowMillis() + REPEAT_MILLIS;
        if (repeatsLeft == 0 || again >= arrival.atMillis() + arrival.patienceMillis()) {
            return false;
        }
        repeatsLeft--;
        run.time().after(REPEAT_MILLIS, this::ask);
        return true;
    }

    private Request request() {
        return new Request(
                arrival.number() + "-" + asked++,
                arrival.account(),
                arrival.service().name(),
                arrival.workClass(),
                arrival.service().model(),
                Option.none(),
                run.regionName(arrival.region()),
                arrival.mayCross() ? Option.some(Simulation.ANYWHERE) : Option.none(),
                arrival.atMillis() + arrival.patienceMillis(),
                arrival.promptTokens(),
                arrival.maxTokens(),
                arrival.prefixes(),
                arrival.service().model(),
                java.util.List.of(),
                false);
    }
}
