package org.rattanplank.bench.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.standins.site.SiteConfigurations;
import org.rattanplank.standins.site.SiteReplica;

/**
 * Makes calls over plain sockets, so that the end of a connection can be distinguished from the end of a response.
 * Stateless and thread safe.
 */
final class SoakCaller {
    /** Longer than the timeout of any route; a response that takes longer counts as missing. */
    private static final int READ_TIMEOUT_MILLIS = 7_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int REQUEST_TIMEOUT_MILLIS = 4_000;
    private static final String SOUND_PART = "5a";

    /** The first letter of the identifiers of requests of the client account with an allowance. */
    static final String LIMITED_ID_START = "l";

    private static final int STATUS_UNAUTHORIZED = 401;
    private static final HeaderNames HEADER_NAMES = PlatformHeaders.names();

    private SoakCaller() {}

    /** Returns the client account of a request: that with an allowance for half of the ordinary calls. */
    static String accountOf(String id) {
        return id.startsWith(LIMITED_ID_START)
                ? SiteConfigurations.LIMITED_ACCOUNT
                : SiteConfigurations.UNLIMITED_ACCOUNT;
    }

    /** Returns whether a host still accepts the key that was removed, or none if it doesn't answer. */
    static Option<Boolean> acceptsRemovedKey(InetSocketAddress host, String id) {
        SoakCall call = call(
                host,
                id,
                false,
                SiteConfigurations.BOOKINGS_PREFIX + "1",
                HEADER_NAMES.key() + ": " + SiteConfigurations.REMOVED_KEY + "\r\n");
        return call.status() == 0 ? Option.none() : Option.some(call.status() != STATUS_UNAUTHORIZED);
    }

    private static String keyOf(String id) {
        String key = accountOf(id).equals(SiteConfigurations.LIMITED_ACCOUNT)
                ? SiteConfigurations.LIMITED_KEY
                : SiteConfigurations.UNLIMITED_KEY;
        return HEADER_NAMES.key() + ": " + key + "\r\n";
    }

    static SoakCall call(InetSocketAddress host, String id, boolean stream) {
        String prefix = stream ? SiteConfigurations.DRAFTS_PREFIX : SiteConfigurations.BOOKINGS_PREFIX;
        return call(host, id, stream, prefix + "1", stream ? promptParts(SOUND_PART) : "");
    }

    /** Sends a new request with the prompt part that crashes each replica which runs it. */
    static SoakCall callWithCrashingPart(InetSocketAddress host, String id) {
        return call(host, id, true, SiteConfigurations.DRAFTS_PREFIX + id, promptParts(SiteReplica.CRASHING_PART));
    }

    /** Returns the headers of a prompt that begins as all others do. */
    private static String promptParts(String second) {
        return HEADER_NAMES.tokens() + ": 100,50\r\n" + HEADER_NAMES.promptParts() + ": f1:40," + second
                + ":40,0b:20\r\n";
    }

    /** Sends the request that crashes each replica that runs it. */
    static SoakCall callCrashing(InetSocketAddress host, String id) {
        return call(host, id, true, SiteConfigurations.DRAFTS_PREFIX + SiteReplica.CRASHING_PATH_END, "");
    }

    /** Returns the value of a metric of a host, or none if it doesn't answer. */
    static Option<Long> metric(InetSocketAddress metrics, String name) {
        String start = name + " ";
        return Try.of(() -> {
                    try (Socket socket = new Socket()) {
                        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                        socket.connect(metrics, CONNECT_TIMEOUT_MILLIS);
                        String request = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
                        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                    }
                })
                .toOption()
                .flatMap(text -> Option.ofOptional(
                        text.lines().filter(line -> line.startsWith(start)).findFirst()))
                .map(line -> Long.parseLong(line.substring(start.length())));
    }

    private static SoakCall call(
            InetSocketAddress host, String id, boolean stream, String path, String additionalHeaders) {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.connect(host, CONNECT_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request(id, path, additionalHeaders).getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            for (int octet = in.read(); octet >= 0; octet = in.read()) {
                received.write(octet);
            }
        } catch (IOException e) {
            // Expected while faults are injected; the response is judged by the bytes received before the error.
            return parse(id, stream, received.toString(StandardCharsets.UTF_8));
        }
        return parse(id, stream, received.toString(StandardCharsets.UTF_8));
    }

    private static String request(String id, String path, String additionalHeaders) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + SiteConfigurations.HOST_NAME + "\r\nConnection: close\r\n"
                + HEADER_NAMES.requestId() + ": " + id + "\r\n" + HEADER_NAMES.timeoutMillis() + ": "
                + REQUEST_TIMEOUT_MILLIS + "\r\n" + additionalHeaders
                + (additionalHeaders.startsWith(HEADER_NAMES.key()) ? "" : keyOf(id))
                + "Content-Length: 2\r\n\r\n{}";
    }

    private static SoakCall parse(String id, boolean stream, String response) {
        int headersEnd = response.indexOf("\r\n\r\n");
        if (headersEnd < 0) {
            return new SoakCall(id, stream, 0, Map.of(), "", false);
        }
        int status = Integer.parseInt(response.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
        Map<String, List<String>> headers = headers(response.substring(0, headersEnd));
        String body = response.substring(headersEnd + 4);
        List<String> lengths = headers.getOrDefault("content-length", List.of());
        if (!lengths.isEmpty()) {
            boolean complete = body.length() == Integer.parseInt(lengths.get(0));
            return new SoakCall(id, stream, status, headers, body, complete);
        }
        boolean complete = body.endsWith("0\r\n\r\n");
        return new SoakCall(
                id,
                stream,
                status,
                headers,
                body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", ""),
                complete);
    }

    /** Returns the values of each header, by its name in lower case. */
    private static Map<String, List<String>> headers(String head) {
        return head.lines()
                .skip(1)
                .map(line -> line.split(":", 2))
                .collect(Collectors.groupingBy(
                        field -> field[0].toLowerCase(Locale.ROOT),
                        Collectors.mapping(field -> field.length > 1 ? field[1].strip() : "", Collectors.toList())));
    }
}
