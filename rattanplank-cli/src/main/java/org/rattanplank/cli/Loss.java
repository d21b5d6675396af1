package org.rattanplank.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The outcome of a request from its caller's point of view. A request has the first outcome that matches its
 * {@code ended} log line. Immutable and thread safe.
 */
enum Loss {
    /** Rejected because it would have waited too long or no target could accept it; the reason in the log line tells which. */
    REFUSED("refused") {
        @Override
        boolean matches(JsonNode endedLine) {
            return endedLine.path("outcome").asText().equals("refused");
        }
    },
    /** The caller disconnected before the response was complete. */
    CALLER_LEFT("caller left") {
        @Override
        boolean matches(JsonNode endedLine) {
            return endedLine.path("outcome").asText().equals("caller_left");
        }
    },
    /** The response failed after a part of it was sent and could not be continued. */
    BROKEN("broken midway") {
        @Override
        boolean matches(JsonNode endedLine) {
            return endedLine.path("outcome").asText().equals("broken");
        }
    },
    /** An error response of a target was forwarded. */
    FAILED_BY_TARGET("failed by its target") {
        @Override
        boolean matches(JsonNode endedLine) {
            return isAnswered(endedLine) && endedLine.path("status").asInt() >= MIN_SERVER_ERROR_STATUS;
        }
    },
    /** The gateway ended the request without a response from a target. */
    UNANSWERED("ended without an answer") {
        @Override
        boolean matches(JsonNode endedLine) {
            return !isAnswered(endedLine);
        }
    },
    /** The first stream event missed the latency objective. */
    FIRST_PART_LATE("first part late") {
        @Override
        boolean matches(JsonNode endedLine) {
            return endedLine.path("firstPartLate").asBoolean();
        }
    },
    /** The gap between two stream events exceeded the latency objective. */
    PAUSE_TOO_LONG("pause too long") {
        @Override
        boolean matches(JsonNode endedLine) {
            return endedLine.path("pauseTooLong").asBoolean();
        }
    },
    /** The response was complete and met the latency objectives. */
    NONE("in time") {
        @Override
        boolean matches(JsonNode endedLine) {
            return true;
        }
    };

    private static final int MIN_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final String label;

    Loss(String label) {
        this.label = label;
    }

    abstract boolean matches(JsonNode endedLine);

    String label() {
        return label;
    }

    /** Returns whether the caller received the complete response of a target that is no error, in time or late. */
    static boolean isServed(JsonNode endedLine) {
        Loss loss = of(endedLine);
        boolean complete = loss == FIRST_PART_LATE || loss == PAUSE_TOO_LONG || loss == NONE;
        return complete && endedLine.path("status").asInt() < MIN_ERROR_STATUS;
    }

    static Loss of(JsonNode endedLine) {
        for (Loss loss : values()) {
            if (loss.matches(endedLine)) {
                return loss;
            }
        }
        return NONE;
    }

    private static boolean isAnswered(JsonNode endedLine) {
        return endedLine.path("outcome").asText().equals("answered");
    }
}
