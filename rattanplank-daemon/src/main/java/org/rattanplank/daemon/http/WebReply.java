package org.rattanplank.daemon.http;

/** How a short HTTP call ended. Immutable and thread safe. */
public sealed interface WebReply {

    /**
     * An answer came, whatever its status.
     *
     * @param status the status
     * @param body the body
     */
    record Answered(int status, byte[] body) implements WebReply {

        /**
         * Tells whether the call did what it asked for.
         *
         * @return whether the status is 2xx
         */
        public boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    /**
     * No connection could be made, so the other side has seen nothing.
     *
     * @param reason a short sentence
     */
    record NotSent(String reason) implements WebReply {}

    /**
     * The call was sent, or may have been, and no answer came.
     *
     * @param reason a short sentence
     */
    record Lost(String reason) implements WebReply {}

    /**
     * The answer of a call that succeeded.
     *
     * @return the answer's body, or none
     */
    default io.vavr.control.Option<byte[]> successBody() {
        return this instanceof Answered answered && answered.isSuccess()
                ? io.vavr.control.Option.some(answered.body())
                : io.vavr.control.Option.none();
    }
}
