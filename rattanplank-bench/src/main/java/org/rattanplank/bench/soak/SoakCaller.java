package org.rattanplank.bench.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.standins.site.SiteConfigurations;

/**
 * Makes calls over plain sockets, so that what ends a connection and what ends an answer can be told apart. Confined to
 * one thread.
 */
final class SoakCaller {
    /** Longer than any route's time: an answer that takes longer counts as none. */
    private static final int LIMIT_MILLIS = 7_000;

    private static final int CONNECT_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final HeaderNames NAMES = PlatformHeaders.names();

    private SoakCaller() {}

    static SoakCall call(InetSocketAddress host, String id, boolean stream) {
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(LIMIT_MILLIS);
            socket.connect(host, CONNECT_MILLIS);
            socket.getOutputStream().write(request(id, stream).getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            for (int each = in.read(); each >= 0; each = in.read()) {
                got.write(each);
            }
        } catch (IOException e) {
            // Faults are what the soak is for: what came before counts, and the answer is judged by it.
            return read(id, stream, got.toString(StandardCharsets.UTF_8));
        }
        return read(id, stream, got.toString(StandardCharsets.UTF_8));
    }

    private static String request(String id, boolean stream) {
        String path = stream ? SiteConfigurations.DRAFTS : SiteConfigurations.BOOKINGS;
        return "POST " + path + "1 HTTP/1.1\r\nHost: " + SiteConfigurations.HOST_NAME + "\r\nConnection: close\r\n"
                + NAMES.requestId() + ": " + id + "\r\n" + NAMES.timeoutMillis() + ": " + TIMEOUT_MILLIS
                + "\r\nContent-Length: 2\r\n\r\n{}";
    }

    private static SoakCall read(String id, boolean stream, String answer) {
        int head = answer.indexOf("\r\n\r\n");
        if (head < 0) {
            return new SoakCall(id, stream, 0, "", false);
        }
        int status = Integer.parseInt(answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
        String headers = answer.substring(0, head).toLowerCase(java.util.Locale.ROOT);
        String body = answer.substring(head + 4);
        int length = headers.indexOf("content-length: ");
        if (length >= 0) {
            int expected = Integer.parseInt(
                    headers.substring(length + "content-length: ".length()).split("\r\n")[0]);
            return new SoakCall(id, stream, status, body, body.length() == expected);
        }
        boolean whole = body.endsWith("0\r\n\r\n");
        return new SoakCall(
                id, stream, status, body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", ""), whole);
    }
}
