package org.rattanplank.standins.target;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;

/**
 * One request in an engine, from the queue to its last token.
 *
 * <p>Invariant: part {@code n} of a request is the same whenever it is made, so that a resumed stream fits. Confined to
 * the targets' thread.
 */
final class Generation {
    private final long arrival;
    private final int priority;
    private final PromptPrefixes prompt;
    private final long maxTokens;
    private Call call;
    private Run run;
    private long prefillTokens;
    private long produced;
    private long sent;
    private boolean detached;

    Generation(Call call, PromptPrefixes prompt, long arrival) {
        this.call = call;
        this.prompt = prompt;
        this.arrival = arrival;
        priority = call.body().path("priority").asInt(0);
        maxTokens = Math.max(1, call.body().path("max_tokens").asLong(32));
    }

    String requestId() {
        return call.requestId();
    }

    int priority() {
        return priority;
    }

    long arrival() {
        return arrival;
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
        return produced >= maxTokens;
    }

    boolean isDetached() {
        return detached;
    }

    void detach() {
        detached = true;
    }

    void begin(Run begun, int warmTokens) {
        run = begun;
        prefillTokens = prompt.tokens() - warmTokens;
        if (isStream()) {
            startStream();
        }
    }

    /** Takes one step of the batch. */
    void step(long prefillTokensPerStep) {
        if (prefillTokens > 0) {
            prefillTokens -= prefillTokensPerStep;
            return;
        }
        produced++;
        if (isDone()) {
            run.end(RunState.WHOLE);
        }
        if (isStream()) {
            sendParts();
        } else if (isDone()) {
            call.answer(answer());
        }
    }

    /** Goes on at a part on another connection. */
    void resume(Call resumed, long fromPart) {
        call = new Call(
                resumed.exchange(),
                call.body(),
                call.requestId(),
                call.idempotencyKey(),
                call.reference(),
                resumed.fault());
        sent = fromPart;
        detached = false;
        startStream();
        sendParts();
    }

    void cancel() {
        if (run != null) {
            run.end(RunState.CANCELLED);
        }
        call.exchange().reset();
    }

    private void startStream() {
        call.exchange().startStream("text/event-stream", call.fault().kind().headers(call));
    }

    private void sendParts() {
        if (detached) {
            return;
        }
        while (sent < produced) {
            call.fault().kind().beforePart(call, sent);
            if (call.fault().kind().sendsPart(call, sent)) {
                call.exchange().part("id: " + sent + "\ndata: " + Json.write(chunk(sent)) + "\n\n");
            }
            sent++;
        }
        if (isDone()) {
            call.fault().kind().endStream(call);
        }
    }

    private ObjectNode chunk(long part) {
        ObjectNode choice = Json.object().put("index", 0);
        choice.set("delta", Json.object().put("content", content(part)));
        return head("chat.completion.chunk").set("choices", Json.array().add(choice));
    }

    private ObjectNode answer() {
        StringBuilder whole = new StringBuilder();
        for (long part = 0; part < maxTokens; part++) {
            whole.append(content(part));
        }
        ObjectNode message = Json.object().put("role", "assistant").put("content", whole.toString());
        ObjectNode choice = Json.object().put("index", 0).put("finish_reason", "stop");
        choice.set("message", message);
        ObjectNode answer = head("chat.completion");
        answer.set("choices", Json.array().add(choice));
        answer.set("usage", Json.object().put("prompt_tokens", prompt.tokens()).put("completion_tokens", maxTokens));
        return answer;
    }

    private ObjectNode head(String object) {
        return Json.object()
                .put("id", call.requestId())
                .put("object", object)
                .put("model", call.body().path("model").asText());
    }

    private String content(long part) {
        return call.reference() + ":" + part + " ";
    }
}
