package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;

/** Finds the account of a bearer token; only hashes of tokens are known. Stateless and thread safe. */
final class Tokens {
    private static final String SCHEME = "Bearer ";

    private Tokens() {}

    static Option<Account> accountOf(Option<String> authorization, Configuration configuration) {
        return authorization
                .filter(header -> header.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(header -> sha256(header.substring(SCHEME.length()).strip()))
                .flatMap(hash -> Option.ofOptional(configuration.accounts().values().stream()
                        .filter(account -> matches(account, hash))
                        .findFirst()));
    }

    private static boolean matches(Account account, byte[] hash) {
        return Try.of(() -> HexFormat.of().parseHex(account.tokenSha256()))
                .map(expected -> MessageDigest.isEqual(expected, hash))
                .getOrElse(false);
    }

    private static byte[] sha256(String token) {
        return Try.of(() -> MessageDigest.getInstance("SHA-256"))
                .map(digest -> digest.digest(token.getBytes(StandardCharsets.UTF_8)))
                .get();
    }
}
