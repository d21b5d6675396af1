package org.rattanplank.standins.site;

import java.util.Map;

import org.rattanplank.standins.http.Exchange;

/** How a replica ends the bodies of its responses. Immutable and thread safe. */
public enum BodyEnd {
    /** A length or the last chunk marks the end. */
    MARKED {
        @Override
        void start(Exchange exchange, String contentType, Map<String, String> headers) {
            exchange.startStream(contentType, headers);
        }

        @Override
        void end(Exchange exchange) {
            exchange.endStream();
        }
    },
    /** The connection ends after the whole body. */
    CLOSED,
    /** The connection ends inside an event. A body that is no stream is sent whole, as its end would look the same. */
    CUT {
        @Override
        boolean breaksOff(boolean eventStream) {
            return eventStream;
        }
    },
    /** The connection is reset in the middle of the body. */
    RESET {
        @Override
        boolean breaksOff(boolean eventStream) {
            return true;
        }

        @Override
        void end(Exchange exchange) {
            exchange.resetAfterWrites();
        }
    };

    void start(Exchange exchange, String contentType, Map<String, String> headers) {
        exchange.startCloseDelimited(contentType, headers);
    }

    /** Returns whether only a part of a body is sent. */
    boolean breaksOff(boolean eventStream) {
        return false;
    }

    void end(Exchange exchange) {
        exchange.closeAfterWrites();
    }
}
