package org.rattanplank.cli;

import java.time.Duration;

import io.vavr.control.Either;
import org.rattanplank.core.intent.ConfigurationManager;
import org.rattanplank.core.intent.Document;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreReply;

/**
 * Calls the platform's store for the command-line tool.
 *
 * <p>Invariant: a write is reported as {@link StoreReply.Unavailable} only if it definitely had no effect. Thread safe.
 */
interface StoreClient {
    /** Prefix of an address of the platform's store; other addresses are used with the etcd v3 JSON API over HTTP. */
    String PLATFORM_PREFIX = "platform://";

    /** Makes a call; only reads of one key and conditional writes are supported. */
    StoreReply call(StoreCommand command);

    static StoreClient of(String address, Duration timeout) {
        return address.startsWith(PLATFORM_PREFIX)
                ? PlatformClient.of(address.substring(PLATFORM_PREFIX.length()), timeout)
                : EtcdClient.of(address, timeout);
    }

    /** Reads the newest document, or returns a report of the failure. */
    default Either<Report, Document> readNewest() {
        StoreReply reply = call(new StoreCommand.Get(ConfigurationManager.KEY));
        if (reply instanceof StoreReply.Found found) {
            return found.entry()
                    .map(entry -> Document.parse(entry.value())
                            .toEither()
                            .mapLeft(e -> Report.of(
                                    ExitCode.REFUSED, "the store's document cannot be read: " + e.getMessage())))
                    .getOrElse(() -> Either.right(Document.empty()));
        }
        String reason = reply instanceof StoreReply.Unavailable unavailable ? unavailable.reason() : "no answer came";
        return Either.left(Report.of(ExitCode.UNREACHABLE, "the store cannot be reached: " + reason));
    }
}
