package org.rattanplank.standins.target;

import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.standins.http.Json;

/** A way in which a target goes wrong, or {@link #NONE}. */
enum FaultKind {
    /** The call is answered as it should be. */
    NONE,
    /** The call runs, then the connection is reset instead of the answer. */
    LOSE_ANSWER {
        @Override
        void respond(Call call, ObjectNode answer) {
            call.exchange().reset();
        }

        @Override
        void endStream(Call call) {
            call.exchange().reset();
        }
    },
    /** The answer is sent twice on the same connection. */
    ANSWER_TWICE {
        @Override
        void respond(Call call, ObjectNode answer) {
            super.respond(call, answer);
            super.respond(call, answer);
        }

        @Override
        void endStream(Call call) {
            super.endStream(call);
            super.respond(call, Json.object().put("again", call.reference()));
        }
    },
    /** The answer names another request. */
    WRONG_ID {
        @Override
        Map<String, String> headers(Call call) {
            return Map.of("X-Request-Id", "another-than-" + call.requestId());
        }
    },
    /** Half of the answer is sent, then the connection is reset. */
    CUT_BODY {
        @Override
        void respond(Call call, ObjectNode answer) {
            call.exchange().respondTruncated(200, headers(call), answer);
        }

        @Override
        void endStream(Call call) {
            call.exchange().reset();
        }
    },
    /** After some parts of a stream the connection is reset; other answers are cut. */
    CUT_STREAM {
        @Override
        void respond(Call call, ObjectNode answer) {
            CUT_BODY.respond(call, answer);
        }

        @Override
        void beforeEvent(Call call, long part) {
            if (part == call.fault().afterEvents()) {
                call.exchange().reset();
            }
        }
    },
    /** The call runs; after some parts, or instead of the answer, nothing is sent on the open connection. */
    SILENT {
        @Override
        void respond(Call call, ObjectNode answer) {}

        @Override
        boolean sendsEvent(Call call, long part) {
            return part < call.fault().afterEvents();
        }

        @Override
        void endStream(Call call) {}
    },
    /** The call takes longer. */
    SLOW,
    /** The call is refused before it runs. */
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

    void respond(Call call, ObjectNode answer) {
        call.exchange().respond(200, headers(call), answer);
    }

    void beforeEvent(Call call, long part) {}

    boolean sendsEvent(Call call, long part) {
        return true;
    }

    void endStream(Call call) {
        call.exchange().sendChunk("data: [DONE]\n\n");
        call.exchange().endStream();
    }
}
