package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;

/**
 * Finds the account of a bearer token; only hashes of tokens are known.
 *
 * <p>Invariant: an answer comes from the index of the very configuration that was asked with. Thread safe; an index is
 * replaced as a whole.
 */
final class Tokens {
    private static final String SCHEME = "Bearer ";

    private volatile Index index = Index.of(Configuration.empty());

    Option<Account> accountOf(Option<String> authorization, Configuration configuration) {
        Index current = index;
        if (current.configuration() != configuration) {
            current = Index.of(configuration);
            index = current;
        }
        return authorization
                .filter(header -> header.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(header -> sha256(header.substring(SCHEME.length()).strip()))
                .flatMap(current::find);
    }

    private static String sha256(String token) {
        return Try.of(() -> MessageDigest.getInstance("SHA-256"))
                .map(digest -> digest.digest(token.getBytes(StandardCharsets.UTF_8)))
                .map(HexFormat.of()::formatHex)
                .get();
    }

    /** The accounts of one configuration by the hash of their token. */
    private record Index(Configuration configuration, Map<String, Account> accounts) {
        static Index of(Configuration configuration) {
            Map<String, Account> accounts = new HashMap<>();
            configuration.accounts().values().stream()
                    .filter(account -> !account.tokenSha256().isEmpty())
                    .forEach(account -> accounts.put(account.tokenSha256(), account));
            return new Index(configuration, Map.copyOf(accounts));
        }

        Option<Account> find(String hash) {
            return Option.of(accounts.get(hash));
        }
    }
}
