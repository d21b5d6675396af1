package org.rattanplank.bench.route;

import io.vavr.control.Option;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Request;

/**
 * A caller that sends one request and, in the retry storm, retries it without waiting for Retry-After.
 *
 * <p>Invariant: it records exactly one outcome. Confined to one thread.
 */
final class Caller {
    private static final long RETRY_DELAY_MILLIS = 10;

    private final Simulation simulation;
    private final Arrival arrival;
    private int retriesLeft;
    private int sent;

    Caller(Simulation simulation, Arrival arrival, int maxRetries) {
        this.simulation = simulation;
        this.arrival = arrival;
        this.retriesLeft = maxRetries;
    }

    void send() {
        simulation.results().recordSent();
        new Call(simulation, simulation.entryHost(arrival), arrival, request(), new OutcomeListener() {
                    @Override
                    public void answered(int region, long firstTokenMillis) {
                        simulation
                                .results()
                                .recordAnswered(
                                        arrival,
                                        region,
                                        firstTokenMillis,
                                        simulation.scheduler().nowMillis());
                    }

                    @Override
                    public void notRun(long retryAfterMillis) {
                        if (!scheduleRetry()) {
                            simulation.results().recordRejected(arrival);
                        }
                    }

                    @Override
                    public void unknown() {
                        if (!scheduleRetry()) {
                            simulation.results().recordUnknown(arrival);
                        }
                    }
                })
                .start();
    }

    private boolean scheduleRetry() {
        long retryAtMillis = simulation.scheduler().nowMillis() + RETRY_DELAY_MILLIS;
        if (retriesLeft == 0 || retryAtMillis >= arrival.atMillis() + arrival.maxWaitMillis()) {
            return false;
        }
        retriesLeft--;
        simulation.scheduler().schedule(RETRY_DELAY_MILLIS, this::send);
        return true;
    }

    private Request request() {
        return new Request(
                arrival.number() + "-" + sent++,
                arrival.account(),
                arrival.service().name(),
                arrival.workClass(),
                arrival.service().hasModelEngines(),
                Option.none(),
                simulation.regionName(arrival.region()),
                arrival.allRegionsAllowed() ? Option.some(Simulation.ANYWHERE) : Option.none(),
                arrival.atMillis() + arrival.maxWaitMillis(),
                arrival.promptTokens(),
                arrival.maxTokens(),
                arrival.prefixes(),
                arrival.service().hasModelEngines(),
                java.util.List.of(),
                false,
                Fingerprint.ofIdentifier(arrival.number() + "-" + sent++));
    }
}
