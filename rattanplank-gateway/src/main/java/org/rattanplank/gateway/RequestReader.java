package org.rattanplank.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.account.KeyDigest;
import org.rattanplank.core.gateway.PromptPart;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.gateway.Work;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.gateway.http.Headers;

/**
 * Converts received HTTP requests into requests to be proxied.
 *
 * <p>Invariants: hop-by-hop headers, the key of the caller's client account and headers that only this system sets are
 * removed; everything else is kept byte for byte. Immutable and thread safe.
 */
public final class RequestReader {
    /** The expected number of generated tokens if the caller gives no estimate. */
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    /** A key of a client account: visible characters, and not so many that a digest of it takes long. */
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,256}");

    private static final Pattern TWO_COUNTS = Pattern.compile("\\s*(\\d{1,12})\\s*,\\s*(\\d{1,12})\\s*");

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private final HeaderNames names;
    private final Set<String> reserved = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    private final Set<String> protectedNames = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    /**
     * Creates a reader.
     *
     * @param names the names of headers
     */
    public RequestReader(HeaderNames names) {
        this.names = names;
        reserved.addAll(names.reserved());
        protectedNames.addAll(List.of(
                "host",
                names.requestId(),
                names.timeoutMillis(),
                names.lastEventId(),
                names.tokens(),
                names.promptParts(),
                names.outputTokensHint()));
    }

    /**
     * Reads a request.
     *
     * @param head its request line and headers
     * @param body its body
     * @return the request, or none if it has no host name or several
     */
    public Option<GatewayRequest> read(HttpRequest head, byte[] body) {
        List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
        if (hosts.size() != 1 || hosts.get(0).isBlank()) {
            return Option.none();
        }
        return Option.some(request(
                head.method().name(),
                head.uri(),
                hosts.get(0),
                forwardableHeaders(head.headers()),
                body,
                key(head.headers())));
    }

    /** Returns the digest of the key of a request, or none if it has no key, several, or none that is well formed. */
    private Option<KeyDigest> key(HttpHeaders headers) {
        List<String> keys = headers.getAll(names.key());
        return keys.size() == 1 && KEY.matcher(keys.get(0)).matches()
                ? Option.some(KeyDigest.of(keys.get(0)))
                : Option.none();
    }

    /**
     * Creates a request from headers that were already filtered, as forwarded by another host.
     *
     * @param method its method
     * @param uri its path and query
     * @param authority the host name that the caller addressed
     * @param headers its headers
     * @param body its body
     * @return the request
     */
    public GatewayRequest request(String method, String uri, String authority, HttpHeaders headers, byte[] body) {
        return request(method, uri, authority, headers, body, Option.none());
    }

    private GatewayRequest request(
            String method, String uri, String authority, HttpHeaders headers, byte[] body, Option<KeyDigest> key) {
        return new GatewayRequest(
                headers.get(names.requestId(), ""),
                method,
                uri,
                authority,
                headers,
                body,
                number(headers.get(names.timeoutMillis())),
                Option.of(headers.get(names.lastEventId())),
                work(headers),
                key,
                Option.of(headers.get(names.account())),
                statedTokens(headers),
                Fingerprint.ofRequest(authority, method, uri, body));
    }

    private HttpHeaders forwardableHeaders(HttpHeaders headers) {
        Set<String> connectionHeaders = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                connectionHeaders.add(name.trim());
            }
        }
        // A caller must not have a header removed that identifies the request: without its identifier or its timeout, a
        // target would run it as a different one.
        connectionHeaders.removeAll(protectedNames);
        HttpHeaders forwardable = Headers.unchecked();
        headers.iteratorAsString().forEachRemaining(entry -> {
            String name = entry.getKey();
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))
                    && !reserved.contains(name)
                    && !connectionHeaders.contains(name)) {
                forwardable.add(name, entry.getValue());
            }
        });
        return forwardable;
    }

    /** Returns the sum of the two numbers of tokens, or none unless there are exactly two. */
    private Option<Long> statedTokens(HttpHeaders headers) {
        Matcher counts = TWO_COUNTS.matcher(headers.get(names.tokens(), ""));
        return counts.matches()
                ? Option.some(Long.parseLong(counts.group(1)) + Long.parseLong(counts.group(2)))
                : Option.none();
    }

    private Work work(HttpHeaders headers) {
        String tokens = headers.get(names.tokens());
        if (tokens == null) {
            return Work.PLAIN;
        }
        String[] counts = tokens.split(",");
        int promptTokens = count(counts[0]);
        int maxTokens = counts.length > 1 ? count(counts[1]) : DEFAULT_OUTPUT_TOKENS;
        int estimatedTokens = number(headers.get(names.outputTokensHint()))
                .map(Long::intValue)
                .getOrElse(DEFAULT_OUTPUT_TOKENS);
        return new Work(
                promptTokens,
                Math.max(0, Math.min(maxTokens, estimatedTokens)),
                promptParts(headers.get(names.promptParts())),
                Urgency.FIRST,
                0);
    }

    private static List<PromptPart> promptParts(String text) {
        List<PromptPart> parts = new ArrayList<>();
        if (text == null) {
            return parts;
        }
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                parts.add(new PromptPart(part.substring(0, colon).trim(), count(part.substring(colon + 1))));
            }
        }
        return parts;
    }

    private static int count(String text) {
        return number(text)
                .map(value -> (int) Math.max(0, Math.min(Integer.MAX_VALUE, value)))
                .getOrElse(0);
    }

    private static Option<Long> number(String text) {
        return text == null
                ? Option.none()
                : Try.of(() -> Long.parseLong(text.trim())).toOption();
    }
}
