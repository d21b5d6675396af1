package org.rattanplank.standins.target;

import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.standins.http.Json;

/** A fault that a target injects into a call, or {@link #NONE}. */
enum FaultKind {
    /** The call gets its normal response. */
    NONE,
    /** The call is executed, then the connection is reset instead of sending the response. */
    LOSE_ANSWER {
        @Override
        void respond(Call call, ObjectNode response) {
            call.exchange().reset();
        }

        @Override
        void endStream(Call call) {
            call.exchange().reset();
        }
    },
    /** The response is sent twice on the same connection. */
    ANSWER_TWICE {
        @Override
        void respond(Call call, ObjectNode response) {
            super.respond(call, response);
            super.respond(call, response);
        }

        @Override
        void endStream(Call call) {
            super.endStream(call);
            super.respond(call, Json.object().put("again", call.reference()));
        }
    },
    /** The response carries the identifier of another request. */
    WRONG_ID {
        @Override
        Map<String, String> headers(Call call) {
            return Map.of("X-Request-Id", "another-than-" + call.requestId());
        }
    },
    /** Half of the response is sent, then the connection is reset. */
    CUT_BODY {
        @Override
        void respond(Call call, ObjectNode response) {
            call.exchange().respondTruncated(200, headers(call), response);
        }

        @Override
        void endStream(Call call) {
            call.exchange().reset();
        }
    },
    /** After some stream events the connection is reset; other responses are truncated. */
    CUT_STREAM {
        @Override
        void respond(Call call, ObjectNode response) {
            CUT_BODY.respond(call, response);
        }

        @Override
        void beforeEvent(Call call, long event) {
            if (event == call.fault().afterEvents()) {
                call.exchange().reset();
            }
        }
    },
    /** The call is executed; after some stream events, or instead of the response, nothing is sent on the open connection. */
    SILENT {
        @Override
        void respond(Call call, ObjectNode response) {}

        @Override
        boolean sendsEvent(Call call, long event) {
            return event < call.fault().afterEvents();
        }

        @Override
        void endStream(Call call) {}
    },
    /** The call takes longer than usual. */
    SLOW,
    /** The call is rejected before it is executed. */
    REFUSE {
        @Override
        boolean rejects() {
            return true;
        }
    };

    static Option<FaultKind> of(String label) {
        for (FaultKind kind : values()) {
            if (kind.label().equals(label)) {
                return Option.some(kind);
            }
        }
        return Option.none();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    boolean rejects() {
        return false;
    }

    Map<String, String> headers(Call call) {
        return call.headers();
    }

    void respond(Call call, ObjectNode response) {
        call.exchange().respond(200, headers(call), response);
    }

    void beforeEvent(Call call, long event) {}

    boolean sendsEvent(Call call, long event) {
        return true;
    }

    void endStream(Call call) {
        call.exchange().sendChunk("data: [DONE]\n\n");
        call.exchange().endStream();
    }
}
