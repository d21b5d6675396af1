package org.rattanplank.daemon.store;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.daemon.http.Exchange;
import org.rattanplank.daemon.http.ExchangeClient;
import org.rattanplank.daemon.http.ExchangeListener;
import org.rattanplank.daemon.http.ExchangeRequest;

/**
 * A watch: a stream of JSON lines that lasts as long as the connection.
 *
 * <p>A watch receives nothing while nothing changes, so one whose connection is unresponsive cannot be distinguished from a
 * healthy one; symptom: a host misses a change permanently. Each watch therefore ends after a fixed time, and its owner
 * reads the keys again.
 *
 * <p>Invariant: it ends at most once and reports no change afterwards. Confined to one event loop except for {@link
 * #start} and {@link #close}.
 */
final class EtcdWatch implements ExchangeListener {
    private static final int OK = 200;
    private static final int MAX_LINE_BYTES = 8_388_608;

    private final ChangeListener changeListener;
    private final Consumer<EtcdWatch> onBroken;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private volatile boolean closed;
    private volatile Option<Exchange> exchange = Option.none();
    private volatile Option<Future<?>> renewalTimer = Option.none();

    EtcdWatch(ChangeListener changeListener, Consumer<EtcdWatch> onBroken) {
        this.changeListener = changeListener;
        this.onBroken = onBroken;
    }

    void start(ExchangeClient exchangeClient, EventLoop loop, URI baseUri, byte[] body, long renewMillis) {
        ExchangeRequest request = new ExchangeRequest(
                baseUri.getHost(),
                baseUri.getPort(),
                "POST",
                EtcdJson.WATCH_PATH,
                Map.of("Content-Type", "application/json"),
                body);
        loop.execute(() -> {
            if (!closed) {
                exchange = Option.some(exchangeClient.start(loop, request, this));
                renewalTimer = Option.some(loop.schedule(this::end, renewMillis, TimeUnit.MILLISECONDS));
            }
        });
    }

    void close() {
        closed = true;
        renewalTimer.forEach(timer -> timer.cancel(false));
        exchange.forEach(Exchange::close);
    }

    @Override
    public void headersReceived(int status, HttpHeaders headers) {
        if (status != OK) {
            end();
        }
    }

    @Override
    public void contentReceived(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                take(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(each);
            }
        }
        if (line.size() > MAX_LINE_BYTES) {
            end();
        }
    }

    @Override
    public void ended() {
        end();
    }

    @Override
    public void failed(boolean handedOver, String reason) {
        end();
    }

    private void take(String text) {
        if (text.isBlank()) {
            return;
        }
        Try<JsonNode> result = EtcdJson.line(text).map(json -> json.path("result"));
        if (result.isFailure() || result.get().path("canceled").asBoolean(false)) {
            end();
            return;
        }
        List<StoreEntry> entries =
                Try.of(() -> EtcdJson.changesOf(result.get())).getOrElse(List::of);
        if (!entries.isEmpty()) {
            changeListener.changed(entries, EtcdJson.revisionOf(result.get()));
        }
    }

    private void end() {
        close();
        onBroken.accept(this);
    }

    /** Receives changed keys. */
    @FunctionalInterface
    interface ChangeListener {

        /**
         * Called when keys were written or deleted.
         *
         * @param entries the changed entries; a deleted key has an empty value and revision zero
         * @param revision the store's revision afterwards
         */
        void changed(List<StoreEntry> entries, long revision);
    }
}
