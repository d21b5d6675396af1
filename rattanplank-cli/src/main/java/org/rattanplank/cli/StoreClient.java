package org.rattanplank.cli;

import java.time.Duration;

import io.vavr.control.Either;
import org.rattanplank.core.intent.Configurations;
import org.rattanplank.core.intent.Document;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreReply;

/**
 * Calls a platform's store for the tool.
 *
 * <p>Invariant: a write is called unavailable only if it was surely not made. Thread safe.
 */
interface StoreClient {
    /** What an address of the users' platform begins with; any other is taken to speak etcd v3's JSON over HTTP. */
    String PLATFORM = "platform://";

    /** Makes a call; the tool needs reads of one key and conditional writes only. */
    StoreReply call(StoreCommand command);

    static StoreClient of(String address, Duration timeout) {
        return address.startsWith(PLATFORM)
                ? PlatformClient.of(address.substring(PLATFORM.length()), timeout)
                : EtcdClient.of(address, timeout);
    }

    /** Reads the newest document, or tells why it cannot. */
    default Either<Report, Document> newest() {
        StoreReply reply = call(new StoreCommand.Get(Configurations.KEY));
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
