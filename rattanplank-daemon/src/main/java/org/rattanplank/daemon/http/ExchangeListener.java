package org.rattanplank.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response of an exchange, on one event loop. No method is called after {@code ended} or {@code failed}, or
 * after the exchange was closed.
 */
public interface ExchangeListener {

    /**
     * Called when the status and headers of the response were received.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void headersReceived(int status, HttpHeaders headers);

    /**
     * Called when a chunk of the body was received.
     *
     * @param bytes the bytes
     */
    void contentReceived(byte[] bytes);

    /**
     * Called when the body was received completely according to its content length or chunked encoding. An event stream
     * with neither has ended with its connection, and may be truncated.
     */
    void ended();

    /**
     * Called when the exchange failed before the end of the body.
     *
     * @param maybeSent whether any byte of the request may have been sent
     * @param reason a short description of the failure
     */
    void failed(boolean maybeSent, String reason);
}
