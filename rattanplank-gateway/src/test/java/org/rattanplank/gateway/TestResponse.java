package org.rattanplank.gateway;

import java.util.Locale;

/**
 * What a caller has received until its connection ended. Immutable.
 *
 * @param status the status
 * @param complete whether it is framed as complete
 * @param body the body without its framing
 */
record TestResponse(String status, boolean complete, String body) {
    static TestResponse parse(String raw) {
        int bodyStart = raw.indexOf("\r\n\r\n") + 4;
        String head = raw.substring(0, bodyStart).toLowerCase(Locale.ROOT);
        String body = raw.substring(bodyStart);
        String status = head.split(" ")[1];
        if (!head.contains("transfer-encoding: chunked")) {
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            return new TestResponse(status, body.length() == length, body);
        }
        StringBuilder content = new StringBuilder();
        int at = 0;
        while (at < body.length()) {
            int lineEnd = body.indexOf("\r\n", at);
            int size = Integer.parseInt(body.substring(at, lineEnd), 16);
            if (size == 0) {
                return new TestResponse(status, true, content.toString());
            }
            content.append(body, lineEnd + 2, lineEnd + 2 + size);
            at = lineEnd + 2 + size + 2;
        }
        return new TestResponse(status, false, content.toString());
    }
}
