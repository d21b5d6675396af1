package org.rattanplank.core.request;

import java.util.List;
import java.util.Objects;

import io.vavr.Lazy;
import io.vavr.control.Option;
import org.rattanplank.core.quarantine.Fingerprint;

/**
 * A caller's request, without the body, which stays outside the core. Immutable and thread safe.
 *
 * @param id the request's identifier, unique over all hosts
 * @param account the caller's account
 * @param service the requested service
 * @param workClass the urgency of the request
 * @param repeatable whether the call may run more than once
 * @param idempotencyKey the caller's key; always present for a call that may not run more than once
 * @param homeRegion the home region of the account
 * @param residency the residency label of the data, if the caller gave one
 * @param deadlineMillis when the caller stops waiting, by this host's clock
 * @param promptTokens an estimate of the prompt's tokens
 * @param maxTokens the maximum number of generated tokens
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 * @param stream whether the answer is streamed
 * @param passedHosts the hosts that the request has passed, oldest first; empty at the first host
 * @param claimed whether an earlier host already holds the claim of the key
 * @param fingerprint recognizes the request when it is sent again; computed when it is first needed
 */
public record Request(
        String id,
        String account,
        String service,
        WorkClass workClass,
        boolean repeatable,
        Option<String> idempotencyKey,
        String homeRegion,
        Option<String> residency,
        long deadlineMillis,
        int promptTokens,
        int maxTokens,
        List<Long> prefixHashes,
        boolean stream,
        List<String> passedHosts,
        boolean claimed,
        Lazy<Fingerprint> fingerprint) {
    public Request {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(homeRegion, "homeRegion");
        prefixHashes = List.copyOf(prefixHashes);
        passedHosts = List.copyOf(passedHosts);
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    /**
     * Returns whether another entry host forwarded this request.
     *
     * @return whether it has passed another host
     */
    public boolean isForwarded() {
        return !passedHosts.isEmpty();
    }

    /**
     * Creates a copy of this request for the next host.
     *
     * @param host the host that forwards it
     * @param claimHeld whether that host holds the claim of the key
     * @return the copy
     */
    public Request forwardedBy(String host, boolean claimHeld) {
        List<String> passed =
                io.vavr.collection.List.ofAll(passedHosts).append(host).asJava();
        return new Request(
                id,
                account,
                service,
                workClass,
                repeatable,
                idempotencyKey,
                homeRegion,
                residency,
                deadlineMillis,
                promptTokens,
                maxTokens,
                prefixHashes,
                stream,
                passed,
                claimHeld,
                fingerprint);
    }
}
