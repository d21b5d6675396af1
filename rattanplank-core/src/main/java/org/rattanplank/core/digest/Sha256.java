package org.rattanplank.core.digest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256, which every Java runtime provides. Stateless and thread safe. */
public final class Sha256 {
    private static final String ALGORITHM = "SHA-256";

    private Sha256() {}

    /**
     * Creates a digest of nothing yet.
     *
     * @return the digest, confined to its caller's thread
     */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime provides " + ALGORITHM, e);
        }
    }

    /**
     * Computes the digest of a text in UTF-8.
     *
     * @param text the text
     * @return the digest in lower-case hexadecimal
     */
    public static String hex(String text) {
        return HexFormat.of().formatHex(newDigest().digest(text.getBytes(StandardCharsets.UTF_8)));
    }
}
