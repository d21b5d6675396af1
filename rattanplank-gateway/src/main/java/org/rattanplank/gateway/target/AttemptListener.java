package org.rattanplank.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.rattanplank.core.response.Completeness;

/**
 * Receives the events of one attempt: at most one set of response headers, then content, then one completion or failure. Called on the event
 * loop.
 */
public interface AttemptListener {
    /**
     * Called when the headers of the response were received.
     *
     * @param status the status
     * @param headers the headers, without hop-by-hop headers
     */
    void headersReceived(int status, HttpHeaders headers);

    /**
     * Called when a chunk of the response's body was received.
     *
     * @param bytes the chunk, which is valid only during the call
     */
    void contentReceived(ByteBuf bytes);

    /**
     * Called when the target has named a limit, another one than before, or none any more.
     *
     * @param perSecond the requests a second that it takes from all hosts together, or none
     */
    default void rateLimitChanged(Option<Double> perSecond) {}

    /**
     * Called when the target has named a limit that is none, for the first time; it counts as if it had named nothing new.
     *
     * @param text what it has named
     */
    default void rateLimitInvalid(String text) {}

    /**
     * Called when the target wants nothing from this host for some time, unless it has already said so.
     *
     * @param millis the time from now
     */
    default void pauseRequested(long millis) {}

    /**
     * Called when the target has sent bytes that are no response to the request.
     *
     * @param defect why they are none
     * @param detail what was received, for logs
     * @param previousRequestId the request that the connection carried before, or empty
     */
    default void responseUnusable(ResponseDefect defect, String detail, String previousRequestId) {}

    /** Called when the response is the first that says that its target leaves, which nothing has said before. */
    default void targetLeaving() {}

    /**
     * Called when the response ended with its connection, as it has neither a length nor chunks. A listener that can't find
     * out whether the target's process ended with it takes it for incomplete.
     *
     * @param completeness whether the response is complete
     */
    default void endedByConnection(Completeness completeness) {
        failed(AttemptFailure.UNKNOWN, "the response ended with its connection");
    }

    /** Called when the response is complete. */
    void completed();

    /**
     * Called when the attempt failed before the headers or within the body of the response.
     *
     * @param failure how it failed
     * @param reason the cause, for logs
     */
    void failed(AttemptFailure failure, String reason);
}
