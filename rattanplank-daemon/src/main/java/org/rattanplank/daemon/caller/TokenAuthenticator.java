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
 * Finds the client account of a bearer token, of which only the hash is stored.
 *
 * <p>Invariant: each lookup uses the index of the configuration that it was given. Thread safe; the index is immutable
 * and replaced as a whole.
 */
final class TokenAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private volatile AccountIndex index = AccountIndex.of(Configuration.empty());

    Option<Account> accountOf(Option<String> authorization, Configuration configuration) {
        AccountIndex current = index;
        if (current.configuration() != configuration) {
            current = AccountIndex.of(configuration);
            index = current;
        }
        return authorization
                .filter(header -> header.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
                .map(header -> sha256(header.substring(BEARER_PREFIX.length()).strip()))
                .flatMap(current::find);
    }

    private static String sha256(String token) {
        return Try.of(() -> MessageDigest.getInstance("SHA-256"))
                .map(digest -> digest.digest(token.getBytes(StandardCharsets.UTF_8)))
                .map(HexFormat.of()::formatHex)
                .get();
    }

    /** Index of the client accounts of one configuration by the hash of their token. */
    private record AccountIndex(Configuration configuration, Map<String, Account> accountsByTokenHash) {
        static AccountIndex of(Configuration configuration) {
            Map<String, Account> accounts = new HashMap<>();
            configuration.accounts().values().stream()
                    .filter(account -> !account.tokenSha256().isEmpty())
                    .forEach(account -> accounts.put(account.tokenSha256(), account));
            return new AccountIndex(configuration, Map.copyOf(accounts));
        }

        Option<Account> find(String hash) {
            return Option.of(accountsByTokenHash.get(hash));
        }
    }
}
