package org.rattanplank.gateway.pass;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.rattanplank.core.quarantine.CompletedRequests;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.CrashQuarantine;
import org.rattanplank.core.quarantine.EvidenceChange;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.quarantine.QuarantinedRequest;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;

/**
 * This host's quarantine of requests that crash targets: applies it to requests, logs it and publishes new evidence.
 *
 * <p>Invariant: while no request is suspected, no fingerprint is computed. Confined to the event loop.
 */
public final class RequestQuarantine {
    private final CrashQuarantine quarantine = CrashQuarantine.empty();
    private final String self;
    private final LongSupplier clock;
    private final EventLog log;
    private final CompletedRequests completed = CompletedRequests.empty();
    private Consumer<List<CrashEvidence>> publisher = evidence -> {};
    private QuarantineListener listener = QuarantineListener.NONE;

    /**
     * Creates a quarantine without evidence.
     *
     * @param self this host's name
     * @param clock the time in milliseconds
     * @param log the log
     */
    public RequestQuarantine(String self, LongSupplier clock, EventLog log) {
        this.self = self;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Sets where evidence is sent that this host has found.
     *
     * @param newPublisher sends evidence to other hosts
     */
    public void onEvidence(Consumer<List<CrashEvidence>> newPublisher) {
        publisher = newPublisher;
    }

    /**
     * Sets what is told of changes of the quarantine.
     *
     * @param newListener the listener
     */
    public void onChange(QuarantineListener newListener) {
        listener = newListener;
    }

    /** Returns whether a request must not be sent to any target. */
    boolean isQuarantined(GatewayRequest request) {
        return quarantine.isQuarantined(request.fingerprint());
    }

    /** Returns whether this host may retry a request on its own. */
    boolean mayRetry(GatewayRequest request) {
        return quarantine.mayRetry(request.fingerprint());
    }

    /** Records that a target has completed a request, which therefore is not the cause of earlier crashes. */
    void completed(GatewayRequest request) {
        completed.add(request.fingerprint());
        if (!quarantine.isEmpty()) {
            clear(request.fingerprint().get());
        }
    }

    /** Records that a target crashed while requests of this host were in flight there. */
    void crashed(String target, Collection<GatewayRequest> inFlight) {
        Set<Fingerprint> fingerprints = new HashSet<>();
        inFlight.forEach(request -> fingerprints.add(request.fingerprint().get()));
        fingerprints.removeAll(completed.fingerprints());
        log.writeImportant(
                LogLine.of(LogEvent.TARGET_CRASHED).with("target", target).with("requests", fingerprints.size()));
        publish(quarantine.recordCrash(target, fingerprints, self, clock.getAsLong()));
    }

    /**
     * Merges evidence of another host.
     *
     * @param host the other host
     * @param evidence the evidence
     * @return the evidence that this host didn't have
     */
    public List<CrashEvidence> merge(String host, List<CrashEvidence> evidence) {
        EvidenceChange change = quarantine.merge(evidence, host, clock.getAsLong());
        completed.among(change.news()).forEach(this::clear);
        quarantinedBy(change).forEach(each -> listener.learned(each.fingerprint()));
        return change.news();
    }

    /**
     * Lifts the quarantine of a request on all hosts, until more targets crash under it.
     *
     * @param fingerprint the text of the fingerprint
     * @return whether the request was quarantined
     */
    public boolean lift(String fingerprint) {
        List<QuarantinedRequest> lifted = quarantined().stream()
                .filter(each -> each.fingerprint().text().equals(fingerprint))
                .toList();
        for (QuarantinedRequest each : lifted) {
            log.writeImportant(LogLine.of(LogEvent.QUARANTINE_LIFTED).with("fingerprint", fingerprint));
            clear(each.fingerprint());
        }
        return !lifted.isEmpty();
    }

    /**
     * Returns all evidence, for a host that has just been connected.
     *
     * @return the evidence
     */
    public List<CrashEvidence> evidence() {
        return quarantine.evidence(clock.getAsLong());
    }

    /**
     * Returns the requests that are quarantined.
     *
     * @return the requests with the crashes of each
     */
    public List<QuarantinedRequest> quarantined() {
        return quarantine.quarantined(clock.getAsLong());
    }

    /**
     * Drops expired evidence.
     *
     * @param nowMillis the time
     */
    public void tick(long nowMillis) {
        quarantine.tick(nowMillis);
    }

    /**
     * Returns the evidence against a request.
     *
     * @param fingerprint the request
     * @return the evidence, also what was cleared
     */
    public List<CrashEvidence> evidence(Fingerprint fingerprint) {
        return quarantine.evidence(fingerprint, clock.getAsLong());
    }

    private void clear(Fingerprint fingerprint) {
        boolean wasQuarantined = quarantine.isQuarantined(fingerprint);
        publish(quarantine.clear(fingerprint, clock.getAsLong()));
        if (wasQuarantined) {
            listener.decided(fingerprint);
        }
    }

    private void publish(EvidenceChange change) {
        quarantinedBy(change).forEach(each -> listener.decided(each.fingerprint()));
        if (!change.news().isEmpty()) {
            publisher.accept(change.news());
        }
    }

    /** Logs and returns the requests that are quarantined since a change. */
    private List<QuarantinedRequest> quarantinedBy(EvidenceChange change) {
        List<QuarantinedRequest> requests = change.quarantined().stream()
                .filter(each -> quarantine.isQuarantined(each.fingerprint()))
                .toList();
        for (QuarantinedRequest each : requests) {
            log.writeImportant(LogLine.of(LogEvent.QUARANTINED)
                    .with("fingerprint", each.fingerprint().text())
                    .with("crashes", each.crashesText()));
        }
        return requests;
    }
}
