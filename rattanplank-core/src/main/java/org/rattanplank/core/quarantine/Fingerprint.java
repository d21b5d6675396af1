package org.rattanplank.core.quarantine;

import java.lang.ref.WeakReference;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.regex.Pattern;

import io.vavr.Lazy;
import io.vavr.control.Option;
import org.rattanplank.core.digest.Sha256;

/**
 * A digest by which a request that is sent again is recognized, whatever its identifier, deadline and connection are.
 *
 * <p>Invariant: requests of the same caller with the same method, path and body have the same fingerprint; finding two
 * different requests with the same fingerprint is infeasible. Immutable and thread safe.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record Fingerprint(long high, long low) {
    /** Fingerprints outlive their requests, some hundred at a time. */
    static final int MAX_KEPT_BODY_BYTES = 128 << 10;

    /** Stands for a request that is gone; no digest of a request is known to equal it. */
    private static final Fingerprint GONE = new Fingerprint(0, 0);

    private static final Pattern TEXT = Pattern.compile("[0-9a-f]{32}");
    private static final int HEXADECIMAL = 16;

    /** Separates the digests of prompt parts from those of requests. */
    private static final String PROMPT_PART = "prompt part";

    /** Orders fingerprints by value. */
    static final Comparator<Fingerprint> BY_VALUE =
            Comparator.comparingLong(Fingerprint::high).thenComparingLong(Fingerprint::low);

    /**
     * Computes the fingerprint of a request.
     *
     * @param caller identifies the caller
     * @param method the method
     * @param uri the path and query
     * @param body the body
     * @return the fingerprint
     */
    public static Fingerprint of(String caller, String method, String uri, byte[] body) {
        MessageDigest digest = Sha256.newDigest();
        updateText(digest, caller);
        updateText(digest, method);
        updateText(digest, uri);
        digest.update(body);
        return of(digest);
    }

    private static Fingerprint of(MessageDigest digest) {
        ByteBuffer bits = ByteBuffer.wrap(digest.digest());
        return new Fingerprint(bits.getLong(), bits.getLong());
    }

    /**
     * Computes the fingerprint of a prompt part, which no request has.
     *
     * @param id the identifier of the part
     * @return the fingerprint
     */
    public static Fingerprint ofPromptPart(String id) {
        MessageDigest digest = Sha256.newDigest();
        updateText(digest, PROMPT_PART);
        updateText(digest, id);
        return of(digest);
    }

    /**
     * Returns the fingerprint of a request, computed when it is first needed. It doesn't keep a large body: once the request
     * is gone, the fingerprint of such a request equals that of no request in flight.
     *
     * @param caller what the caller is known by
     * @param method the method
     * @param uri the path and query
     * @param body the whole body
     * @return the fingerprint
     */
    public static Lazy<Fingerprint> ofRequest(String caller, String method, String uri, byte[] body) {
        if (body.length <= MAX_KEPT_BODY_BYTES) {
            return Lazy.of(() -> of(caller, method, uri, body));
        }
        WeakReference<byte[]> largeBody = new WeakReference<>(body);
        return Lazy.of(() -> Option.of(largeBody.get())
                .map(known -> of(caller, method, uri, known))
                .getOrElse(GONE));
    }

    /**
     * Returns the fingerprint of a request whose body is not known, which is therefore not recognized when it is sent again.
     *
     * @param requestId the identifier of the request
     * @return the fingerprint, computed when it is first needed
     */
    public static Lazy<Fingerprint> ofIdentifier(String requestId) {
        return Lazy.of(() -> of("", "", requestId, new byte[0]));
    }

    /**
     * Returns the fingerprint as text, as in logs.
     *
     * @return 32 hexadecimal digits
     */
    public String text() {
        return String.format("%016x%016x", high, low);
    }

    /**
     * Parses the text of a fingerprint.
     *
     * @param text 32 hexadecimal digits
     * @return the fingerprint
     * @throws IllegalArgumentException if the text is no fingerprint
     */
    public static Fingerprint parse(String text) {
        if (!TEXT.matcher(text).matches()) {
            throw new IllegalArgumentException("not a fingerprint: " + text);
        }
        int half = text.length() / 2;
        return new Fingerprint(
                Long.parseUnsignedLong(text, 0, half, HEXADECIMAL),
                Long.parseUnsignedLong(text, half, text.length(), HEXADECIMAL));
    }

    /** Adds a text with its length, so that characters can't move from one text to the next unnoticed. */
    private static void updateText(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
        digest.update(bytes);
    }
}
