package org.rattanplank.core.response;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes the head of a response that a decoder has made of two: the first response stopped inside a line, and the status
 * line of the second continues that line. Stateless and thread safe.
 */
public final class JoinedHead {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d+\\.\\d+[ \\t]+\\d{3}(?!\\d)", Pattern.CASE_INSENSITIVE);

    private JoinedHead() {}

    /**
     * Returns whether a head contains the status line of another one.
     *
     * @param reasonPhrase the reason phrase of its own status line
     * @param headers its headers
     * @return whether its reason phrase or the value of a header contains a status line
     */
    public static boolean isJoined(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
        if (containsStatusLine(reasonPhrase)) {
            return true;
        }
        for (Map.Entry<String, String> header : headers) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
    }
}
