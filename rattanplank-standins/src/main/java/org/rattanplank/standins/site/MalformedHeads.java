package org.rattanplank.standins.site;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Option;
import org.rattanplank.platform.PlatformHeaders;

/**
 * Draws which answers of a replica have a head that breaks the syntax of HTTP, by an invalid status or by a field name
 * that is no token.
 *
 * <p>Invariant: the draws follow from the seed and the order of the answers. Not thread safe: confined to the event loop
 * of its replica.
 */
public final class MalformedHeads {
    private static final List<String> STATUSES = List.of(
            "000", "0", "001", "099", "99", "20", "600", "999", "1000", "2000", "0200", "+200", "-200", "20x", "");
    private static final int FIELDS_PER_ONE_WITHOUT_COLON = 8;
    private static final String NO_TOKEN_CHARACTERS = " \t\0\u0001\u000b\u001f\u007f()/;<=>?@[]{}\"";

    private final Random random;

    private MalformedHeads(long seed) {
        random = new Random(seed);
    }

    /**
     * Returns the draws of a seed.
     *
     * @param seed the seed
     * @return the draws
     */
    public static MalformedHeads of(long seed) {
        return new MalformedHeads(seed);
    }

    /**
     * Draws a malformed answer.
     *
     * @param answer the answer
     * @return its text, which ends with its connection, or none if the answer is sound
     */
    Option<String> draw(SentAnswer answer) {
        if (random.nextBoolean()) {
            return Option.none();
        }
        List<String> fields = new ArrayList<>(List.of(
                PlatformHeaders.names().requestId() + ": " + answer.requestId(),
                SiteReplica.STAMP_HEADER + ": " + answer.stamp(),
                HttpHeaderNames.CONTENT_TYPE + ": " + answer.contentType()));
        if (random.nextBoolean()) {
            fields.add(HttpHeaderNames.CONTENT_LENGTH + ": " + answer.body().length());
        }
        Collections.shuffle(fields, random);
        String status = HttpResponseStatus.valueOf(answer.status()).toString();
        if (random.nextBoolean()) {
            status = STATUSES.get(random.nextInt(STATUSES.size())) + " OK";
        } else {
            int broken = random.nextInt(fields.size());
            fields.set(broken, breakName(fields.get(broken)));
        }
        return Option.some("HTTP/1.1 " + status + "\r\n" + String.join("\r\n", fields) + "\r\n\r\n" + answer.body());
    }

    /** Puts a character that no name may contain into the name of a field, or takes the colon from behind it. */
    private String breakName(String field) {
        int colon = field.indexOf(':');
        if (random.nextInt(FIELDS_PER_ONE_WITHOUT_COLON) == 0) {
            return field.substring(0, colon) + field.substring(colon + 1);
        }
        char character = NO_TOKEN_CHARACTERS.charAt(random.nextInt(NO_TOKEN_CHARACTERS.length()));
        int at = random.nextInt(colon + 1);
        return field.substring(0, at) + character + field.substring(at);
    }
}
