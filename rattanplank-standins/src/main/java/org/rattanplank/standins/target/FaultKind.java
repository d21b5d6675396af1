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
        void answer(Call call, ObjectNode answer) {
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
        void answer(Call call, ObjectNode answer) {
            super.answer(call, answer);
            super.answer(call, answer);
        }

        @Override
        void endStream(Call call) {
            super.endStream(call);
            super.answer(call, Json.object().put("again", call.reference()));
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
        void answer(Call call, ObjectNode answer) {
            call.exchange().respondHalf(200, headers(call), answer);
        }

        @Override
        void endStream(Call call) {
            call.exchange().reset();
        }
    },
    /** After some parts of a stream the connection is reset; other answers are cut. */
    CUT_STREAM {
        @Override
        void answer(Call call, ObjectNode answer) {
            CUT_BODY.answer(call, answer);
        }

        @Override
        void beforePart(Call call, long part) {
            if (part == call.fault().afterParts()) {
                call.exchange().reset();
            }
        }
    },
    /** The call runs; after some parts, or instead of the answer, nothing is sent on the open connection. */
    SILENT {
        @Override
        void answer(Call call, ObjectNode answer) {}

        @Override
        boolean sendsPart(Call call, long part) {
            return part < call.fault().afterParts();
        }

        @Override
        void endStream(Call call) {}
    },
    /** The call takes longer. */
    SLOW,
    /** The call is refused before it runs. */
    REFUSE {
        @Override
        boolean refuses() {
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

    boolean refuses() {
        return false;
    }

    Map<String, String> headers(Call call) {
        return call.headers();
    }

    void answer(Call call, ObjectNode answer) {
        call.exchange().respond(200, headers(call), answer);
    }

    void beforePart(Call call, long part) {}

    boolean sendsPart(Call call, long part) {
        return true;
    }

    void endStream(Call call) {
        call.exchange().part("data: [DONE]\n\n");
        call.exchange().endStream();
    }
}
