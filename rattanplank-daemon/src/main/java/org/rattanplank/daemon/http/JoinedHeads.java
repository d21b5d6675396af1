package org.rattanplank.daemon.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes a head of a response that consists of two: one that stopped within a line, and the next one, whose status
 * line continues that line. The decoder reads them as one head with the status of the first and the other headers and
 * the body of the second.
 *
 * <p>Stateless and thread safe.
 */
final class JoinedHeads {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private JoinedHeads() {}

    /**
     * Returns whether a head contains the status line of another one.
     *
     * @param head the head as decoded
     * @return whether a status line continues its reason phrase or a header
     */
    static boolean isJoined(HttpResponse head) {
        return containsStatusLine(head.status().reasonPhrase())
                || head.headers().entries().stream().map(Map.Entry::getValue).anyMatch(JoinedHeads::containsStatusLine);
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
