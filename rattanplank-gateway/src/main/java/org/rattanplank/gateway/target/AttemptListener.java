package org.rattanplank.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Hears one attempt: at most one head, then content, then one end or failure. Called on the event loop. */
public interface AttemptListener {
    /**
     * The head of the answer came.
     *
     * @param status its status
     * @param headers its headers, without those of the connection
     */
    void head(int status, HttpHeaders headers);

    /**
     * A part of the answer's body came.
     *
     * @param bytes the part, which is only lent
     */
    void content(ByteBuf bytes);

    /** The answer is whole. */
    void ended();

    /**
     * The attempt failed; there was no head, or the body broke off.
     *
     * @param failure what may have run
     * @param reason what happened
     */
    void failed(AttemptFailure failure, String reason);
}
