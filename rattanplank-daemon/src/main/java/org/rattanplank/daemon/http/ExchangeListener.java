package org.rattanplank.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears how an exchange goes, on one event loop. After {@code ended} or {@code failed} it hears nothing more; after the
 * exchange was closed it hears nothing at all.
 */
public interface ExchangeListener {

    /**
     * The head of the answer came.
     *
     * @param status the status
     * @param headers the headers
     */
    void head(int status, HttpHeaders headers);

    /**
     * A piece of the body came.
     *
     * @param bytes the bytes
     */
    void content(byte[] bytes);

    /** The body ended as its length or its chunks say. */
    void ended();

    /**
     * The exchange failed before the body's end.
     *
     * @param handedOver whether any byte of the request may have been handed to the transport
     * @param reason a short sentence
     */
    void failed(boolean handedOver, String reason);
}
