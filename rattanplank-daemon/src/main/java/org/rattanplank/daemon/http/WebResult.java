package org.rattanplank.daemon.http;

/** Result of a short HTTP request. Immutable and thread safe. */
public sealed interface WebResult {

    /**
     * A response was received, with any status.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Response(int status, byte[] body) implements WebResult {

        /**
         * Returns whether the request succeeded.
         *
         * @return whether the status is 2xx
         */
        public boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    /**
     * The connection could not be established, so no byte of the request was sent.
     *
     * @param reason a short description of the failure
     */
    record NotSent(String reason) implements WebResult {}

    /**
     * The request was or may have been sent, but no complete response was received.
     *
     * @param reason a short description of the failure
     */
    record Lost(String reason) implements WebResult {}

    /**
     * Returns the response body of a successful request.
     *
     * @return the body, or none if the request did not succeed
     */
    default io.vavr.control.Option<byte[]> successBody() {
        return this instanceof Response answered && answered.isSuccess()
                ? io.vavr.control.Option.some(answered.body())
                : io.vavr.control.Option.none();
    }
}
