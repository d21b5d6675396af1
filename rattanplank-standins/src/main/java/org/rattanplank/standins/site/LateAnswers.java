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
 * Draws which runs of a replica fail, and which are preceded by a second answer to the earlier request of their connection:
 * whole, or stopped inside its head or body.
 *
 * <p>Invariant: the draws follow from the seed and the order of the runs. Not thread safe: confined to the event loop of its
 * replica.
 */
public final class LateAnswers {
    private static final int RUNS_PER_OWN_ANSWER_ALONE = 4;
    private static final int ANSWERS_PER_WHOLE_ONE = 4;
    private static final int CUTS_PER_CUT_BODY = 3;
    private static final int SUCCESSES_PER_ONE_WITHOUT_ID = 4;
    private static final int MAX_DELAY_MILLIS = 20;

    private final Random random;

    private LateAnswers(long seed) {
        random = new Random(seed);
    }

    /**
     * Returns the draws of a seed.
     *
     * @param seed the seed
     * @return the draws
     */
    public static LateAnswers of(long seed) {
        return new LateAnswers(seed);
    }

    /** Returns whether the next run ends as a failure. */
    boolean fails() {
        return random.nextBoolean();
    }

    /** Returns how long after the second answer the own one follows: at once for half of them. */
    long delayMillis() {
        return random.nextBoolean() ? 0 : random.nextInt(MAX_DELAY_MILLIS);
    }

    /**
     * Draws a second answer.
     *
     * @param earlier the answer to the earlier request
     * @return its text, or none if the own answer comes alone
     */
    Option<String> draw(SentAnswer earlier) {
        if (random.nextInt(RUNS_PER_OWN_ANSWER_ALONE) == 0) {
            return Option.none();
        }
        Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        String head = head(earlier, framing);
        String whole = head + framing.body(earlier.body());
        if (random.nextInt(ANSWERS_PER_WHOLE_ONE) == 0) {
            return Option.some(whole);
        }
        int length = random.nextInt(CUTS_PER_CUT_BODY) == 0
                ? head.length() + random.nextInt(whole.length() - head.length())
                : 1 + random.nextInt(head.length() - 1);
        return Option.some(whole.substring(0, length));
    }

    /** Returns a head whose headers have any order, since where it stops decides what is lost. */
    private String head(SentAnswer earlier, Framing framing) {
        List<String> lines = new ArrayList<>();
        // A failure without an identifier counts as the answer to the request in progress.
        boolean mayLackId = earlier.status() < HttpResponseStatus.BAD_REQUEST.code();
        if (!mayLackId || random.nextInt(SUCCESSES_PER_ONE_WITHOUT_ID) > 0) {
            lines.add(PlatformHeaders.names().requestId() + ": " + earlier.requestId());
        }
        lines.add(SiteReplica.STAMP_HEADER + ": " + earlier.stamp());
        lines.add(HttpHeaderNames.CONTENT_TYPE + ": " + earlier.contentType());
        lines.add(HttpHeaderNames.CACHE_CONTROL + ": no-cache");
        lines.add(framing.header(earlier.body()));
        Collections.shuffle(lines, random);
        return "HTTP/1.1 " + HttpResponseStatus.valueOf(earlier.status()) + "\r\n" + String.join("\r\n", lines)
                + "\r\n\r\n";
    }

    /** How a second answer marks the end of its body. Immutable and thread safe. */
    private enum Framing {
        LENGTH,
        CHUNKS {
            @Override
            String header(String body) {
                return HttpHeaderNames.TRANSFER_ENCODING + ": chunked";
            }

            @Override
            String body(String body) {
                return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
            }
        },
        CONNECTION_END {
            @Override
            String header(String body) {
                return HttpHeaderNames.CONNECTION + ": close";
            }
        };

        String header(String body) {
            return HttpHeaderNames.CONTENT_LENGTH + ": " + body.length();
        }

        String body(String body) {
            return body;
        }
    }
}
