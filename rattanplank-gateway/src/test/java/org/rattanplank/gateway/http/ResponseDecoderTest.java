package org.rattanplank.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Compares the decoder with the grammar of RFC 9112. Guards against a response that is read although its head or
 * trailers break the grammar, and against a sound one that is refused or read differently.
 */
class ResponseDecoderTest {
    private static final int MAX_BYTES = 16_384;
    private static final int BYTE_VALUES = 256;
    private static final String BODY = "id: 1\n data: a : b\n\n";
    private static final String LENGTH_HEAD =
            "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nX-Folded: b\r\n c d\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
    private static final String CHUNKED_START = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    private static final String TRAILERS = "Sum: a b\r\nOther:c\r\n\r\n";

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d\\.\\d ([1-5]\\d\\d)( [\\t -~\\u0080-\\u00ff]*)?");
    private static final Pattern FIELD_LINE =
            Pattern.compile("(" + TOKEN + "):[ \\t]*([\\t -~\\u0080-\\u00ff]*?)[ \\t]*");
    private static final Pattern FOLDED_LINE = Pattern.compile("[ \\t]+([\\t -~\\u0080-\\u00ff]*?)[ \\t]*");
    private static final Pattern BROKEN_STATUS_LINE =
            Pattern.compile("HTTP/\\S+[ \\t\\x0b\\f\\r]++(?![1-5]\\d\\d([ \\t\\x0b\\f\\r]|$)).*", Pattern.DOTALL);
    private static final Pattern BROKEN_FIELD_LINE = Pattern.compile("(?!" + TOKEN + ":).*", Pattern.DOTALL);
    private static final Pattern INDENTED_FIELD = Pattern.compile("[ \\t]+(" + TOKEN + ")?[ \\t]*:.*", Pattern.DOTALL);

    /**
     * What was decoded of a head.
     *
     * @param failed whether it was refused
     * @param status the status, zero if it was refused
     * @param fields the names and values of its headers
     */
    private record Head(boolean failed, int status, List<String> fields) {}

    /** Decodes a text that arrives in parts of the given size. */
    private static List<HttpObject> decode(String text, int partBytes) {
        EmbeddedChannel channel =
                new EmbeddedChannel(new ResponseDecoder(MAX_BYTES, MAX_BYTES, MAX_BYTES, () -> false));
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int at = 0; at < bytes.length; at += partBytes) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(partBytes, bytes.length - at)));
        }
        List<HttpObject> objects = new ArrayList<>();
        for (HttpObject each = channel.readInbound(); each != null; each = channel.readInbound()) {
            objects.add(each);
        }
        return objects;
    }

    private static Head decodeHead(String text, int partBytes) {
        List<HttpObject> objects = decode(text, partBytes);
        if (objects.isEmpty() || objects.get(0).decoderResult().isFailure()) {
            return new Head(true, 0, List.of());
        }
        HttpResponse head = (HttpResponse) objects.get(0);
        List<String> fields = new ArrayList<>();
        head.headers().forEach(each -> fields.add(normalized(each.getKey() + ": " + each.getValue())));
        return new Head(false, head.status().code(), fields);
    }

    /** Returns the lines of a head without the empty one that ends it, or nothing if it doesn't end. */
    private static List<String> linesOf(String head) {
        // Control characters and white space before the status line are passed over.
        String[] all = head.replaceFirst("^[\\x00-\\x20]+", "").split("\\r?\\n", -1);
        int end = List.of(all).indexOf("");
        return end >= 0 && end < all.length - 1 ? List.of(all).subList(0, end) : List.of();
    }

    /** Returns the headers of a head by the grammar, or nothing if the grammar doesn't allow it. */
    private static List<String> fieldsOf(List<String> lines) {
        List<String> fields = new ArrayList<>();
        for (String line : lines) {
            Matcher field = FIELD_LINE.matcher(line);
            Matcher folded = FOLDED_LINE.matcher(line);
            if (field.matches()) {
                fields.add(field.group(1) + ": " + field.group(2));
            } else if (folded.matches()
                    && !fields.isEmpty()
                    && !fields.get(fields.size() - 1).endsWith(": ")) {
                fields.add(fields.remove(fields.size() - 1) + " " + folded.group(1));
            } else {
                return List.of();
            }
        }
        return fields.stream().map(ResponseDecoderTest::normalized).toList();
    }

    private static String normalized(String field) {
        return field.replaceAll("[ \\t]+", " ").strip();
    }

    /** Returns whether a head must be refused: its status is invalid, or the name of a field is no token. */
    private static boolean isBroken(List<String> lines) {
        if (BROKEN_STATUS_LINE.matcher(lines.get(0)).matches()) {
            return true;
        }
        for (int i = 1; i < lines.size(); i++) {
            String line = lines.get(i);
            boolean continuation = i > 1 && (line.startsWith(" ") || line.startsWith("\t"));
            if ((continuation ? INDENTED_FIELD : BROKEN_FIELD_LINE)
                    .matcher(line)
                    .matches()) {
                return true;
            }
        }
        return false;
    }

    /** Returns what is wrong with the decoding of a head, or nothing. */
    private static String check(String head, int partBytes) {
        List<String> lines = linesOf(head);
        if (lines.isEmpty()) {
            return "";
        }
        Head decoded = decodeHead(head + BODY, partBytes);
        if (isBroken(lines)) {
            return decoded.failed() ? "" : "accepted: " + escape(head) + " as " + decoded + "\n";
        }
        Matcher status = STATUS_LINE.matcher(lines.get(0));
        List<String> fields = fieldsOf(lines.subList(1, lines.size()));
        if (!status.matches() || !fields.contains("Content-Length: " + BODY.length())) {
            return "";
        }
        Head expected = new Head(false, Integer.parseInt(status.group(1)), fields);
        return decoded.equals(expected) ? "" : "refused or misread: " + escape(head) + " as " + decoded + "\n";
    }

    private static String escape(String text) {
        StringBuilder escaped = new StringBuilder();
        text.chars()
                .forEach(each -> escaped.append(
                        each < ' ' || each > '~' ? String.format(Locale.ROOT, "\\x%02x", each) : (char) each + ""));
        return escaped.toString();
    }

    /** Replaces each byte of a sound head by each value. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, MAX_BYTES})
    void shouldFollowTheGrammarWhenOneByteOfTheHeadDiffers(int partBytes) {
        StringBuilder failures = new StringBuilder();
        for (int at = 0; at < LENGTH_HEAD.length(); at++) {
            for (char value = 0; value < BYTE_VALUES; value++) {
                failures.append(check(LENGTH_HEAD.substring(0, at) + value + LENGTH_HEAD.substring(at + 1), partBytes));
            }
        }
        assertEquals("", failures.toString());
    }

    /** Inserts each byte at each place of a sound head. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, MAX_BYTES})
    void shouldFollowTheGrammarWhenTheHeadHasOneByteMore(int partBytes) {
        StringBuilder failures = new StringBuilder();
        for (int at = 0; at < LENGTH_HEAD.length(); at++) {
            for (char value = 0; value < BYTE_VALUES; value++) {
                failures.append(check(LENGTH_HEAD.substring(0, at) + value + LENGTH_HEAD.substring(at), partBytes));
            }
        }
        assertEquals("", failures.toString());
    }

    /** Removes each byte of a sound head. */
    @Test
    void shouldFollowTheGrammarWhenTheHeadHasOneByteLess() {
        StringBuilder failures = new StringBuilder();
        for (int at = 0; at < LENGTH_HEAD.length(); at++) {
            failures.append(check(LENGTH_HEAD.substring(0, at) + LENGTH_HEAD.substring(at + 1), MAX_BYTES));
        }
        assertEquals("", failures.toString());
    }

    /** Replaces each byte of sound trailers by each value. */
    @ParameterizedTest
    @ValueSource(ints = {1, MAX_BYTES})
    void shouldRefuseTrailersWhenAFieldNameIsNoToken(int partBytes) {
        StringBuilder failures = new StringBuilder();
        for (int at = 0; at < TRAILERS.length() - "\r\n\r\n".length(); at++) {
            for (char value = 0; value < BYTE_VALUES; value++) {
                String trailers = TRAILERS.substring(0, at) + value + TRAILERS.substring(at + 1);
                String line = trailers.split("\\r?\\n", -1)[0];
                List<HttpObject> objects = decode(CHUNKED_START + trailers, partBytes);
                boolean refused =
                        objects.stream().anyMatch(each -> each.decoderResult().isFailure());
                if (!line.isEmpty() && BROKEN_FIELD_LINE.matcher(line).matches() && !refused) {
                    failures.append(escape(trailers)).append('\n');
                }
            }
        }
        assertEquals("", failures.toString());
    }
}
