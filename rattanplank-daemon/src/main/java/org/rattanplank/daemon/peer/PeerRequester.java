package org.rattanplank.daemon.peer;

import java.util.Arrays;
import java.util.List;

import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.daemon.call.Requester;
import org.rattanplank.schema.message.ForwardChunk;
import org.rattanplank.schema.message.ForwardEnd;
import org.rattanplank.schema.message.ForwardHead;
import org.rattanplank.schema.message.RequestMessage;

/**
 * The entry host that forwarded a request; the response is sent on the connection on which the request was received.
 * Guarded by the lock of its call.
 */
final class PeerRequester implements Requester {
    private static final int CHUNK_BYTES = 262_144;
    private static final int OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";

    private final String requestId;
    private final long attempt;
    private final java.util.function.Consumer<RequestMessage> sender;
    private boolean headersSent;
    private long chunks;

    PeerRequester(String requestId, long attempt, java.util.function.Consumer<RequestMessage> sender) {
        this.requestId = requestId;
        this.attempt = attempt;
        this.sender = sender;
    }

    @Override
    public void streamEvent(long number, byte[] event, List<String> path) {
        sendHeaders(OK, EVENT_STREAM, path);
        sendChunk(event);
    }

    @Override
    public void finish(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            sendResponse(answered.answer(), answered.path());
            sender.accept(new ForwardEnd(
                    requestId, attempt, outcome.label(), chunks, "", "", "", lastHopOf(answered.path()), 0));
        } else if (outcome instanceof Outcome.NotRun notRun) {
            sendFailure(outcome.label(), notRun.failure(), notRun.retryAfterMillis());
        } else if (outcome instanceof Outcome.Unknown unknown) {
            sendFailure(outcome.label(), unknown.failure(), 0);
        }
    }

    private void sendResponse(Answer response, List<String> path) {
        sendHeaders(response.status(), response.contentType(), path);
        byte[] body = response.body();
        for (int from = 0; from < body.length; from += CHUNK_BYTES) {
            sendChunk(Arrays.copyOfRange(body, from, Math.min(body.length, from + CHUNK_BYTES)));
        }
    }

    private void sendHeaders(int status, String contentType, List<String> path) {
        if (!headersSent) {
            headersSent = true;
            sender.accept(new ForwardHead(requestId, attempt, status, contentType, lastHopOf(path)));
        }
    }

    private static String lastHopOf(List<String> path) {
        return path.isEmpty() ? "" : path.get(path.size() - 1);
    }

    private void sendChunk(byte[] bytes) {
        sender.accept(new ForwardChunk(requestId, attempt, chunks++, bytes));
    }

    private void sendFailure(String label, Failure failure, long retryAfterMillis) {
        sender.accept(new ForwardEnd(
                requestId,
                attempt,
                label,
                chunks,
                failure.step().label(),
                failure.peer(),
                failure.reason(),
                "",
                retryAfterMillis));
    }
}
