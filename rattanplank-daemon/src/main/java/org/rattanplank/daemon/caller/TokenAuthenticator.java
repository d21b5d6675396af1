package org.rattanplank.daemon.caller;

import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Option;
import org.rattanplank.core.account.KeyDigest;
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
                .map(header ->
                        KeyDigest.of(header.substring(BEARER_PREFIX.length()).strip()))
                .flatMap(current::find);
    }

    /** Index of the client accounts of one configuration by the hash of their token. */
    private record AccountIndex(Configuration configuration, Map<KeyDigest, Account> accountsByToken) {
        static AccountIndex of(Configuration configuration) {
            Map<KeyDigest, Account> accounts = new HashMap<>();
            configuration.accounts().values().stream()
                    .filter(account -> !account.tokenSha256().isEmpty())
                    .forEach(account -> accounts.put(new KeyDigest(account.tokenSha256()), account));
            return new AccountIndex(configuration, Map.copyOf(accounts));
        }

        Option<Account> find(KeyDigest token) {
            return Option.of(accountsByToken.get(token));
        }
    }
}
