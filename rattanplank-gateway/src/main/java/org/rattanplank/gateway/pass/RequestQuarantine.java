package org.rattanplank.gateway.pass;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.rattanplank.core.quarantine.AnsweredRequests;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.CrashQuarantine;
import org.rattanplank.core.quarantine.EvidenceChange;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.quarantine.LostRequest;
import org.rattanplank.core.quarantine.QuarantineEntry;
import org.rattanplank.gateway.GatewayRequest;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.gateway.log.LogEvent;
import org.rattanplank.gateway.log.LogLine;

/**
 * This host's quarantine of requests and prompt parts that crash targets: applies it to requests, logs it and publishes new evidence.
 *
 * <p>Invariant: while no request is suspected, no fingerprint is computed. Confined to the event loop.
 */
public final class RequestQuarantine {
    private static final int MAX_LOGGED_PARTS = 16;

    private final CrashQuarantine quarantine = CrashQuarantine.empty();
    private final String self;
    private final LongSupplier clock;
    private final EventLog log;
    private final AnsweredRequests answered = AnsweredRequests.empty();
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
        return quarantine.isQuarantined(request::identity);
    }

    /** Returns why a quarantined request is rejected. */
    String reason(GatewayRequest request) {
        List<String> parts = quarantine.quarantinedParts(request.promptParts());
        return parts.isEmpty()
                ? "quarantined: targets crashed whenever they ran this request"
                : "quarantined: targets crashed whenever they ran a request with prompt part "
                        + String.join(" and ", parts);
    }

    /** Returns whether this host may retry a request on its own. */
    boolean mayRetry(GatewayRequest request) {
        return quarantine.mayRetry(request::identity);
    }

    /** Records that a target has completed a request, which therefore is not the cause of earlier crashes. */
    void completed(GatewayRequest request) {
        answered.completed(request.fingerprint(), request.promptParts(), clock.getAsLong());
        if (!quarantine.isEmpty()) {
            clear(request.fingerprint().get());
            clearParts(request);
        }
    }

    /** Records that a target has answered a request for a while, so that its prompt parts crash no target. */
    void answered(GatewayRequest request) {
        answered.answered(request.promptParts(), clock.getAsLong());
        if (!quarantine.isEmpty()) {
            clearParts(request);
        }
    }

    private void clearParts(GatewayRequest request) {
        request.promptParts().forEach(id -> clear(Fingerprint.ofPromptPart(id)));
    }

    /** Records that a target crashed while requests of this host were in flight there. */
    void crashed(String target, Collection<InterruptedRequest> inFlight) {
        long now = clock.getAsLong();
        Map<Fingerprint, LostRequest> lost = new HashMap<>();
        for (InterruptedRequest each : inFlight) {
            lost.put(
                    each.request().fingerprint().get(),
                    new LostRequest(each.request().identity(), each.inFlightMillis()));
        }
        List<LostRequest> suspects = answered.suspects(lost.values(), now);
        log.writeImportant(LogLine.of(LogEvent.TARGET_CRASHED)
                .with("target", target)
                .with("requests", suspects.size())
                .with("promptParts", promptParts(suspects)));
        publish(quarantine.recordCrash(target, suspects, self, now));
    }

    /** Returns the prompt parts of suspects, as many as a log line needs. */
    private static String promptParts(List<LostRequest> suspects) {
        return suspects.stream()
                .flatMap(each -> each.identity().promptParts().stream())
                .distinct()
                .limit(MAX_LOGGED_PARTS)
                .collect(Collectors.joining(","));
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
        answered.innocents(change.news(), clock.getAsLong()).forEach(this::clear);
        quarantinedBy(change).forEach(each -> listener.learned(each.fingerprint()));
        return change.news();
    }

    /**
     * Lifts the quarantine of a request, or of a prompt part and those that no crash tells from it, on all hosts, until more
     * targets crash under it.
     *
     * @param fingerprint the text of the fingerprint
     * @return whether the request or the part was quarantined
     */
    public boolean lift(String fingerprint) {
        Set<Fingerprint> lifted = quarantined().stream()
                .map(QuarantineEntry::fingerprint)
                .filter(each -> each.text().equals(fingerprint))
                .flatMap(each -> quarantine.quarantinedWith(each).stream())
                .collect(Collectors.toSet());
        if (lifted.isEmpty()) {
            return false;
        }
        log.writeImportant(LogLine.of(LogEvent.QUARANTINE_LIFTED).with("fingerprint", fingerprint));
        lifted.forEach(this::clear);
        return true;
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
     * Returns the requests and prompt parts that are quarantined.
     *
     * @return the requests and parts with the crashes of each
     */
    public List<QuarantineEntry> quarantined() {
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
     * Returns the evidence against a request or a prompt part.
     *
     * @param fingerprint the request or the part
     * @return the evidence, also what was cleared
     */
    public List<CrashEvidence> evidence(Fingerprint fingerprint) {
        return quarantine.evidence(fingerprint, clock.getAsLong());
    }

    private void clear(Fingerprint fingerprint) {
        clear(fingerprint, clock.getAsLong());
    }

    private void clear(Fingerprint fingerprint, long untilMillis) {
        boolean wasQuarantined = !quarantine.quarantinedWith(fingerprint).isEmpty();
        publish(quarantine.clear(fingerprint, untilMillis, clock.getAsLong()));
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

    /** Logs and returns what is quarantined since a change. */
    private List<QuarantineEntry> quarantinedBy(EvidenceChange change) {
        List<QuarantineEntry> added = change.quarantined().stream()
                .filter(each -> !quarantine.quarantinedWith(each.fingerprint()).isEmpty())
                .toList();
        for (QuarantineEntry each : added) {
            log.writeImportant(LogLine.of(LogEvent.QUARANTINED)
                    .with("fingerprint", each.fingerprint().text())
                    .with("promptParts", String.join(",", each.promptParts()))
                    .with("crashes", each.crashesText()));
        }
        return added;
    }
}
