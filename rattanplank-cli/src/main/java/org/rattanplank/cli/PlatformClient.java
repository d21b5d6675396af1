package org.rattanplank.cli;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.gateway.store.StoreFailure;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StorePage;
import org.rattanplank.platform.PlatformStore;

/** Calls the platform's store through the adapter that the gateway uses. Thread safe. */
final class PlatformClient implements StoreClient {
    private final InetSocketAddress address;
    private final Duration timeout;

    private PlatformClient(InetSocketAddress address, Duration timeout) {
        this.address = address;
        this.timeout = timeout;
    }

    static PlatformClient of(String address, Duration timeout) {
        int colon = address.lastIndexOf(':');
        return new PlatformClient(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeout);
    }

    @Override
    public StoreReply call(StoreCommand command) {
        if (command instanceof StoreCommand.Get get) {
            return this.<StorePage>await((store, reply) -> store.list(get.key(), "", reply))
                    .fold(
                            failure -> new StoreReply.Unavailable("the store: " + failure),
                            page -> found(get.key(), page));
        }
        if (command instanceof StoreCommand.Put put) {
            byte[] value = put.value().getBytes(StandardCharsets.UTF_8);
            return this.<Long>await((store, reply) ->
                            store.put(put.key(), value, 0, Option.some(put.expectedModRevision()), reply))
                    .fold(failure -> failed(put.key(), failure), StoreReply.Written::new);
        }
        throw new IllegalArgumentException("unsupported store command: " + command);
    }

    private StoreReply failed(String key, StoreFailure failure) {
        return switch (failure) {
            case CONFLICT -> call(new StoreCommand.Get(key)) instanceof StoreReply.Found now
                    ? new StoreReply.Conflicted(now.entry())
                    : new StoreReply.Unavailable("the key has changed, and can't be read");
            case REFUSED, NOT_FOUND, HISTORY_GONE -> new StoreReply.Unavailable("the store: " + failure);
            case NO_ANSWER, UNREADABLE -> new StoreReply.Unsure("the store: " + failure);
        };
    }

    private static StoreReply found(String key, StorePage page) {
        List<StoreEntry> entries = page.items().stream()
                .filter(item -> item.key().equals(key))
                .map(PlatformClient::entry)
                .toList();
        return new StoreReply.Found(entries, page.revision());
    }

    private static StoreEntry entry(StoreItem item) {
        return new StoreEntry(item.key(), new String(item.value(), StandardCharsets.UTF_8), item.revision());
    }

    private <T> Either<StoreFailure, T> await(PendingCall<T> call) {
        EventLoopGroup group = new NioEventLoopGroup(1);
        CompletableFuture<Either<StoreFailure, T>> reply = new CompletableFuture<>();
        try {
            group.execute(() -> call.start(PlatformStore.of(group, address), reply::complete));
            return reply.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return Either.left(StoreFailure.NO_ANSWER);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(StoreFailure.NO_ANSWER);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** An asynchronous call. */
    private interface PendingCall<T> {
        void start(PlatformStore store, Consumer<Either<StoreFailure, T>> reply);
    }
}
