package org.rattanplank.core.account;

import java.util.Objects;

import org.rattanplank.core.digest.Sha256;

/**
 * The digest of a secret by which a caller names its client account.
 *
 * <p>Invariants: the secret can't be found from its digest; looking up a digest takes no time that tells how much of a
 * secret was right. Immutable and thread safe.
 *
 * @param sha256 the SHA-256 of the secret in lower-case hexadecimal
 */
public record KeyDigest(String sha256) {
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
        return new KeyDigest(Sha256.hex(secret));
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
