package org.rattanplank.standins.target;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/**
 * A request at a model engine, from its queueing to its last generated token.
 *
 * <p>Invariant: token {@code n} of a request is the same whenever it is produced, so that a resumed stream continues
 * the interrupted one. Each token is one stream event. Confined to the targets' thread.
 */
final class EngineRequest {
    private final long arrivalNumber;
    private final int priority;
    private final PromptPrefixes prompt;
    private final long maxTokens;
    private Call call;
    private Execution execution;
    private long prefillTokens;
    private long generatedTokens;
    private long sentEvents;
    private boolean detached;

    EngineRequest(Call call, PromptPrefixes prompt, long arrival) {
        this.call = call;
        this.prompt = prompt;
        this.arrivalNumber = arrival;
        priority = call.body().path("priority").asInt(0);
        maxTokens = Math.max(1, call.body().path("max_tokens").asLong(32));
    }

    String requestId() {
        return call.requestId();
    }

    int priority() {
        return priority;
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    PromptPrefixes prompt() {
        return prompt;
    }

    Call call() {
        return call;
    }

    boolean isStream() {
        return call.body().path("stream").asBoolean(false);
    }

    boolean isDone() {
        return generatedTokens >= maxTokens;
    }

    boolean isDetached() {
        return detached;
    }

    void detach() {
        detached = true;
    }

    void start(Execution newExecution, int cachedTokens) {
        execution = newExecution;
        prefillTokens = prompt.tokens() - cachedTokens;
        if (isStream()) {
            startStream();
        }
    }

    /** Runs one step of the batch: a chunk of the prefill, or the decode of one token. */
    void step(long prefillTokensPerStep) {
        if (prefillTokens > 0) {
            prefillTokens -= prefillTokensPerStep;
            return;
        }
        generatedTokens++;
        if (isDone()) {
            execution.end(ExecutionState.WHOLE);
        }
        if (isStream()) {
            sendEvents();
        } else if (isDone()) {
            call.respond(completion());
        }
    }

    /** Resumes the stream at an event on another connection. */
    void resume(Call resumed, long fromEvent) {
        call = new Call(
                resumed.exchange(),
                call.body(),
                call.requestId(),
                call.idempotencyKey(),
                call.reference(),
                resumed.fault());
        sentEvents = fromEvent;
        detached = false;
        startStream();
        sendEvents();
    }

    void cancel() {
        if (execution != null) {
            execution.end(ExecutionState.CANCELLED);
        }
        call.exchange().reset();
    }

    private void startStream() {
        call.exchange().startStream("text/event-stream", call.fault().kind().headers(call));
    }

    private void sendEvents() {
        if (detached) {
            return;
        }
        while (sentEvents < generatedTokens) {
            call.fault().kind().beforeEvent(call, sentEvents);
            if (call.fault().kind().sendsEvent(call, sentEvents)) {
                call.exchange().sendChunk("id: " + sentEvents + "\ndata: " + Json.write(chunk(sentEvents)) + "\n\n");
            }
            sentEvents++;
        }
        if (isDone()) {
            call.fault().kind().endStream(call);
        }
    }

    private ObjectNode chunk(long token) {
        ObjectNode choice = Json.object().put("index", 0);
        choice.set("delta", Json.object().put("content", content(token)));
        return responseFields("chat.completion.chunk")
                .set("choices", Json.array().add(choice));
    }

    private ObjectNode completion() {
        StringBuilder content = new StringBuilder();
        for (long token = 0; token < maxTokens; token++) {
            content.append(content(token));
        }
        ObjectNode message = Json.object().put("role", "assistant").put("content", content.toString());
        ObjectNode choice = Json.object().put("index", 0).put("finish_reason", "stop");
        choice.set("message", message);
        ObjectNode response = responseFields("chat.completion");
        response.set("choices", Json.array().add(choice));
        response.set(
                "usage", Json.object().put("prompt_tokens", prompt.tokens()).put("completion_tokens", maxTokens));
        return response;
    }

    private ObjectNode responseFields(String object) {
        return Json.object()
                .put("id", call.requestId())
                .put("object", object)
                .put("model", call.body().path("model").asText());
    }

    private String content(long token) {
        return call.reference() + ":" + token + " ";
    }
}
