package org.rattanplank.bench.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.bench.process.Poll;
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
    private static final int MIN_REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 8_192;
    private static final long MAX_IDLE_MILLIS = 400;
    private static final int CALLS_PER_BOOKING = 6;
    private static final int CALLS_PER_LATE_CHUNK = 3;
    private static final long MAX_LAST_CHUNK_DELAY_MILLIS = 1_500;
    private static final String SOUND_PART = "5a";

    /** The first letter of the identifiers of requests of the client account with an allowance. */
    static final String LIMITED_ID_START = "l";

    /** The first letter of the identifiers of streams that may be executed once only. */
    static final String ONCE_ID_START = "o";

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
        return call(host, id, stream, prefix(stream) + "1", stream ? promptParts(SOUND_PART) : "");
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
        String request = head(id, path, REQUEST_TIMEOUT_MILLIS, additionalHeaders)
                + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";
        Response response = new Response(host, id, stream, REQUEST_TIMEOUT_MILLIS);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.connect(host, CONNECT_TIMEOUT_MILLIS);
            response.send(socket, request);
            while (response.read(socket)) {
                // To the end of the connection: bytes behind the response are part of what is judged.
            }
        } catch (IOException e) {
            // Expected while faults are injected; the response is judged by the bytes received before the error.
            return response.parse();
        }
        return response.parse();
    }

    /**
     * Makes one call after the other over a connection until the host closes it, or is about to, or the caller is to
     * stop.
     *
     * @param host the host
     * @param random draws the calls
     * @param active whether to make another call
     * @param numbers the numbers in the identifiers
     * @param calls accepts each call
     */
    static void callOverOneConnection(
            InetSocketAddress host,
            SplittableRandom random,
            BooleanSupplier active,
            Supplier<String> numbers,
            Consumer<SoakCall> calls) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.connect(host, CONNECT_TIMEOUT_MILLIS);
            SoakCall call;
            do {
                call = callOver(socket, host, numbers.get(), random);
                calls.accept(call);
                Poll.pause(random.nextLong(MAX_IDLE_MILLIS));
            } while (call.complete() && !call.values("connection").contains("close") && active.getAsBoolean());
        } catch (IOException e) {
            // The host takes no connections while it is stopped; the next attempt follows.
            Poll.pause(MAX_IDLE_MILLIS);
        }
    }

    private static SoakCall callOver(Socket socket, InetSocketAddress host, String number, SplittableRandom random) {
        boolean stream = random.nextInt(CALLS_PER_BOOKING) > 0;
        boolean once = stream && random.nextBoolean();
        String id = (once ? ONCE_ID_START : "s") + number;
        String path = (once ? SiteConfigurations.QUESTIONS_PREFIX : prefix(stream)) + "1";
        int timeoutMillis = random.nextBoolean()
                ? SiteConfigurations.ROUTE_TIMEOUT_MILLIS
                : random.nextInt(MIN_REQUEST_TIMEOUT_MILLIS, SiteConfigurations.ROUTE_TIMEOUT_MILLIS);
        String head = head(id, path, timeoutMillis, stream ? promptParts(SOUND_PART) : "");
        Response response = new Response(host, id, stream, timeoutMillis);
        try {
            if (random.nextInt(CALLS_PER_LATE_CHUNK) == 0) {
                response.send(socket, head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n");
                Poll.pause(random.nextLong(MAX_LAST_CHUNK_DELAY_MILLIS));
                response.send(socket, "0\r\n\r\n");
            } else {
                response.send(socket, head + "Content-Length: 2\r\n\r\n{}");
            }
            while (!response.parse().complete() && response.read(socket)) {
                // To the end of the response.
            }
        } catch (IOException e) {
            return response.parse();
        }
        return response.parse();
    }

    private static String head(String id, String path, int timeoutMillis, String additionalHeaders) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + SiteConfigurations.HOST_NAME + "\r\n"
                + HEADER_NAMES.requestId() + ": " + id + "\r\n" + HEADER_NAMES.timeoutMillis() + ": "
                + timeoutMillis + "\r\n" + additionalHeaders
                + (additionalHeaders.startsWith(HEADER_NAMES.key()) ? "" : keyOf(id));
    }

    private static String prefix(boolean stream) {
        return stream ? SiteConfigurations.DRAFTS_PREFIX : SiteConfigurations.BOOKINGS_PREFIX;
    }

    /** A response as it is received. Confined to the thread of its caller. */
    private static final class Response {
        private final InetSocketAddress host;
        private final String id;
        private final boolean stream;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private final byte[] buffer = new byte[BUFFER_BYTES];
        private final long deadlineMillis;
        private Option<Long> sentMillis = Option.none();

        private Response(InetSocketAddress host, String id, boolean stream, int timeoutMillis) {
            this.host = host;
            this.id = id;
            this.stream = stream;
            deadlineMillis = SoakSite.nowMillis() + timeoutMillis;
        }

        /** Sends a part of the request, of which the last one sent counts. */
        private void send(Socket socket, String part) throws IOException {
            sentMillis = Option.none();
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
            sentMillis = Option.some(SoakSite.nowMillis());
        }

        /** Returns whether the connection goes on. */
        private boolean read(Socket socket) throws IOException {
            int count = socket.getInputStream().read(buffer);
            if (count < 0) {
                return false;
            }
            received.write(buffer, 0, count);
            return true;
        }

        private SoakCall parse() {
            SoakCall.Span span = new SoakCall.Span(host, sentMillis, deadlineMillis, SoakSite.nowMillis());
            return SoakCaller.parse(id, stream, received.toString(StandardCharsets.UTF_8), span);
        }
    }

    private static SoakCall parse(String id, boolean stream, String response, SoakCall.Span span) {
        int headersEnd = response.indexOf("\r\n\r\n");
        if (headersEnd < 0) {
            return new SoakCall(id, stream, 0, Map.of(), "", false, span);
        }
        int status = statusOf(response);
        Map<String, List<String>> headers = headers(response.substring(0, headersEnd));
        String body = response.substring(headersEnd + 4);
        List<String> lengths = headers.getOrDefault("content-length", List.of());
        if (!lengths.isEmpty()) {
            boolean complete = body.length() == Integer.parseInt(lengths.get(0));
            return new SoakCall(id, stream, status, headers, body, complete, span);
        }
        boolean complete = body.endsWith("0\r\n\r\n");
        return new SoakCall(
                id,
                stream,
                status,
                headers,
                body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", ""),
                complete,
                span);
    }

    /** Returns the status also of a response that breaks the syntax of HTTP, zero if there is no number. */
    private static int statusOf(String response) {
        return Try.of(() -> Integer.parseInt(response.split("\\s", 3)[1])).getOrElse(0);
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
