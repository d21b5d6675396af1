package org.rattanplank.daemon.http;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Option;

/**
 * Collects the response to one short request.
 *
 * <p>Invariants: it has one result; it keeps no more than the maximum size of a body and than its buffer is granted,
 * and nothing after its result. Confined to its event loop.
 */
final class WebExchange implements ExchangeListener {
    private final int maxBodyBytes;
    private final Consumer<WebResult> onResult;
    private final ResponseBuffer body;
    private Option<Exchange> exchange = Option.none();
    private Option<Future<?>> timeout = Option.none();
    private int status;
    private boolean finished;

    WebExchange(int maxBodyBytes, ResponseBuffer body, Consumer<WebResult> onResult) {
        this.maxBodyBytes = maxBodyBytes;
        this.body = body;
        this.onResult = onResult;
    }

    void start(EventLoop loop, ExchangeClient client, ExchangeRequest request, long timeoutMillis) {
        timeout = Option.some(
                loop.schedule(() -> lose("no response within the timeout"), timeoutMillis, TimeUnit.MILLISECONDS));
        exchange = Option.some(client.start(loop, request, this));
    }

    @Override
    public void headersReceived(int responseStatus, HttpHeaders headers) {
        status = responseStatus;
        boolean bodiless = status == HttpResponseStatus.NO_CONTENT.code();
        if (!bodiless
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            lose("the end of the response could not be told from a lost connection");
        }
    }

    @Override
    public void contentReceived(byte[] bytes) {
        if (finished) {
            return;
        }
        if (body.size() + bytes.length > maxBodyBytes) {
            lose("the response exceeds the size limit");
        } else if (!body.tryAppend(bytes)) {
            lose("no memory is left for the response");
        }
    }

    @Override
    public void ended() {
        finish(new WebResult.Response(status, body.take()));
    }

    @Override
    public void failed(boolean maybeSent, String reason) {
        finish(maybeSent ? new WebResult.Lost(reason) : new WebResult.NotSent(reason));
    }

    private void lose(String reason) {
        finish(new WebResult.Lost(reason));
    }

    private void finish(WebResult result) {
        if (finished) {
            return;
        }
        finished = true;
        timeout.forEach(timer -> timer.cancel(false));
        exchange.forEach(Exchange::close);
        body.clear();
        onResult.accept(result);
    }
}
