package org.rattanplank.gateway;

import java.util.List;
import java.util.Objects;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.Lazy;
import io.vavr.control.Option;
import org.rattanplank.core.account.KeyDigest;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.quarantine.RequestIdentity;
import org.rattanplank.gateway.http.Headers;

/**
 * A request to be proxied. Immutable by convention: its headers and body are not modified.
 *
 * @param id its identifier, empty if the caller gave none
 * @param method its method
 * @param uri its path and query, byte for byte as received
 * @param authority the host name that the caller addressed
 * @param headers the headers to forward, without hop-by-hop and reserved headers
 * @param body its whole body
 * @param timeoutMillis how long the caller waits, from the arrival; none if not given
 * @param lastEventId the last event of the stream that the caller has; none at the start of a stream
 * @param work the work it requires of a target
 * @param key the digest of the key of its client account; none if the caller sent no key, or none that is well formed
 * @param account the name of its client account, once it is known
 * @param statedTokens the tokens of its prompt and the most that it may generate; none if they aren't stated
 * @param fingerprint recognizes the request when it is sent again; computed when it is first needed
 */
public record GatewayRequest(
        String id,
        String method,
        String uri,
        String authority,
        HttpHeaders headers,
        byte[] body,
        Option<Long> timeoutMillis,
        Option<String> lastEventId,
        Work work,
        Option<KeyDigest> key,
        Option<String> account,
        Option<Long> statedTokens,
        Lazy<Fingerprint> fingerprint) {
    private static final int MAX_PARTS = 32;
    private static final int MAX_PART_ID_CHARS = 64;

    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
    }

    /**
     * Returns the request with its client account, whose name its target receives.
     *
     * @param header the header of the name
     * @param name the name
     * @return the request
     */
    public GatewayRequest ofAccount(String header, String name) {
        return new GatewayRequest(
                id,
                method,
                uri,
                authority,
                Headers.unchecked().add(headers).set(header, name),
                body,
                timeoutMillis,
                lastEventId,
                work,
                key,
                Option.some(name),
                statedTokens,
                fingerprint);
    }

    /**
     * Returns what of it may be blamed for a crash.
     *
     * @return its fingerprint and its shared prompt parts
     */
    public RequestIdentity identity() {
        return new RequestIdentity(fingerprint.get(), promptParts());
    }

    /**
     * Returns the first prompt parts that other requests may share.
     *
     * @return their identifiers, of long ones a digest
     */
    public List<String> promptParts() {
        return work.sharedParts().stream()
                .limit(MAX_PARTS)
                .map(part -> part.id().length() <= MAX_PART_ID_CHARS
                        ? part.id()
                        : Fingerprint.ofPromptPart(part.id()).text())
                .toList();
    }

    /**
     * Returns the path that routes are matched with.
     *
     * @return the path without its query
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
