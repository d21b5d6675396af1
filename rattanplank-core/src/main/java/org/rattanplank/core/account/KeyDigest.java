package org.rattanplank.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The digest of a secret by which a caller names its client account.
 *
 * <p>Invariants: the secret can't be found from its digest; looking up a digest takes no time that tells how much of a
 * secret was right. Immutable and thread safe.
 *
 * @param sha256 the SHA-256 of the secret in lower-case hexadecimal
 */
public record KeyDigest(String sha256) {
    private static final String ALGORITHM = "SHA-256";

    public KeyDigest {
        Objects.requireNonNull(sha256, "sha256");
    }

    /**
     * Computes the digest of a secret.
     *
     * @param secret the secret
     * @return its digest
     */
    public static KeyDigest of(String secret) {
        try {
            byte[] digest = MessageDigest.getInstance(ALGORITHM).digest(secret.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
        }
    }

    // Written out, as the runtime would generate the code of a record's methods during the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest digest && sha256.equals(digest.sha256);
    }

    @Override
    public int hashCode() {
        return sha256.hashCode();
    }
}
