package org.rattanplank.standins.caller;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.standins.http.Json;

/** The kind of a call, and how a caller recognizes the complete response to its own call. */
public enum CallKind {
    /** A booking or a price quote at a plain service. */
    BOOKING("interactive") {
        @Override
        String path(String service) {
            return "/services/" + service + "/bookings";
        }

        @Override
        boolean isModelCall() {
            return false;
        }

        @Override
        boolean isCompleteResponse(CallRequest request, String body) {
            JsonNode response = Json.readOrEmpty(body);
            return response.path("reference").asText().equals(request.reference()) && response.has("confirmation");
        }
    },
    /** A short response of a model engine, in one piece. */
    QUERY("interactive") {
        @Override
        boolean isCompleteResponse(CallRequest request, String body) {
            String content =
                    Json.readOrEmpty(body).at("/choices/0/message/content").asText();
            return List.of(content.trim().split(" ")).equals(expectedTokens(request));
        }
    },
    /** A streamed response of a model engine. */
    DRAFT("draft") {
        @Override
        boolean isCompleteResponse(CallRequest request, String body) {
            List<String> contents = new ArrayList<>();
            boolean done = false;
            for (String line : body.split("\n")) {
                if (line.equals("data: [DONE]")) {
                    done = true;
                } else if (line.startsWith(DATA)) {
                    JsonNode chunk = Json.readOrEmpty(line.substring(DATA.length()));
                    contents.add(chunk.at("/choices/0/delta/content").asText().trim());
                }
            }
            return done && contents.equals(expectedTokens(request));
        }
    };

    private static final String DATA = "data: ";

    private final String workClass;

    CallKind(String workClass) {
        this.workClass = workClass;
    }

    String workClass() {
        return workClass;
    }

    String path(String service) {
        return "/v1/chat/completions";
    }

    boolean isModelCall() {
        return true;
    }

    abstract boolean isCompleteResponse(CallRequest request, String body);

    private static List<String> expectedTokens(CallRequest request) {
        List<String> tokens = new ArrayList<>();
        for (int token = 0; token < request.maxTokens(); token++) {
            tokens.add(request.reference() + ":" + token);
        }
        return tokens;
    }
}
