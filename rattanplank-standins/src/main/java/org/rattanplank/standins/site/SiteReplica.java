package org.rattanplank.standins.site;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.vavr.control.Option;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * Stand-in of a replica of a service: it registers itself in the store, executes only requests that are addressed to it,
 * and responds with a single body or a resumable stream. Not thread safe: confined to its event loop.
 */
public final class SiteReplica {
    /** The header of each answer to a run that names the run. */
    public static final String STAMP_HEADER = "Run-Stamp";

    /** The status of a run that fails. */
    public static final int STATUS_FAILED = 500;

    private static final String JSON = "application/json";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int STATUS_OK = 200;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    private static final int STATUS_UNAVAILABLE = 503;

    /** The number of events of a complete stream. */
    public static final int EVENT_COUNT = 5;

    /** The end of the path of requests that crash each replica that runs them. */
    public static final String CRASHING_PATH_END = "crash";

    /** The identifier of the prompt part that crashes each replica which runs a request with it. */
    public static final String CRASHING_PART = "dead";

    private static final long EVENT_INTERVAL_MILLIS = 20;
    private static final long CRASH_DELAY_MILLIS = 50;

    private final EventLoop loop;
    private final String id;
    private final boolean streams;
    private final Listener listener;
    private final HeaderNames headerNames = PlatformHeaders.names();
    private final Map<String, SentAnswer> lastAnswers = new HashMap<>();
    private long lastRunNumber;

    private SiteReplica(EventLoop loop, String id, boolean streams, Listener listener) {
        this.loop = loop;
        this.id = id;
        this.streams = streams;
        this.listener = listener;
    }

    /**
     * Starts serving a replica.
     *
     * @param loop the event loop that serves it
     * @param id the replica's identifier
     * @param streams whether it responds with streams
     * @param listener called with what it executes, and asked what it names
     * @return the address that is served
     */
    public static InetSocketAddress serve(EventLoop loop, String id, boolean streams, Listener listener) {
        return loop.serve(0, new SiteReplica(loop, id, streams, listener)::handle);
    }

    /**
     * Runs a replica until the process is terminated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        InetSocketAddress address = serve(EventLoop.of(), options.id, options.streams, request -> {});
        SiteStoreClient.of(options.store)
                .registerTarget(options.id, options.service, Addresses.format(address), options.dataCentre);
        System.out.println("replica ready id=" + options.id + " address=" + Addresses.format(address));
    }

    private void handle(Exchange exchange) {
        String expectedId = exchange.header(headerNames.expectedTarget()).getOrElse(id);
        String requestId = exchange.header(headerNames.requestId()).getOrElse("");
        Map<String, String> echo = new HashMap<>(Map.of(headerNames.requestId(), requestId));
        listener.rateLimit().forEach(limit -> echo.put(headerNames.rateLimit(), limit));
        if (!expectedId.equals(id)) {
            exchange.respond(STATUS_MISDIRECTED_REQUEST, echo, Json.object());
            return;
        }
        listener.arrived();
        if (listener.isLeaving()) {
            echo.put(headerNames.leaving(), "1");
        }
        Option<Long> pauseSeconds = listener.pauseSeconds();
        if (pauseSeconds.isDefined()) {
            echo.put(headerNames.notExecuted(), "1");
            echo.put("Retry-After", Long.toString(pauseSeconds.get()));
            exchange.respond(STATUS_UNAVAILABLE, echo, Json.object());
            return;
        }
        listener.executed(new ExecutedRequest(
                requestId,
                exchange.header(headerNames.account()),
                exchange.header(headerNames.key()).isDefined(),
                exchange.header(headerNames.tokens())));
        Option<CrashCause> crashCause = crashCause(exchange);
        if (crashCause.isDefined()) {
            loop.schedule(CRASH_DELAY_MILLIS, () -> listener.crashed(crashCause.get()));
            return;
        }
        Option<LateAnswers> lateAnswers = listener.lateAnswers();
        int lastEventId = exchange.header(headerNames.lastEventId())
                .map(Integer::parseInt)
                .getOrElse(0);
        SentAnswer answer = answer(requestId, lastEventId, lateAnswers.exists(LateAnswers::fails));
        Option<String> malformed = listener.malformedHeads().flatMap(each -> each.draw(answer));
        if (malformed.isDefined()) {
            exchange.sendUnframed(malformed.get());
            exchange.closeAfterWrites();
            return;
        }
        echo.put(STAMP_HEADER, answer.stamp());
        listener.answered(answer);
        BodyEnd end = listener.bodyEnd();
        Option<SentAnswer> earlier = replaceLastAnswer(exchange, answer);
        Option<String> second = lateAnswers.flatMap(each -> earlier.flatMap(each::draw));
        second.forEach(exchange::sendUnframed);
        long delayMillis =
                (second.isEmpty() ? 0 : lateAnswers.get().delayMillis()) + (streams ? 0 : listener.pauseMillis());
        if (delayMillis == 0) {
            respond(exchange, end, echo, answer, lastEventId);
        } else {
            loop.schedule(delayMillis, () -> respond(exchange, end, echo, answer, lastEventId));
        }
    }

    private SentAnswer answer(String requestId, int lastEventId, boolean failed) {
        lastRunNumber++;
        String stamp = id + "/" + lastRunNumber;
        if (failed) {
            String body = Json.write(Json.object().put("by", id).put("failed", requestId));
            return new SentAnswer(requestId, stamp, STATUS_FAILED, JSON, body);
        }
        if (!streams) {
            String body = Json.write(Json.object().put("by", id).put("for", requestId));
            return new SentAnswer(requestId, stamp, STATUS_OK, JSON, body);
        }
        String events = IntStream.rangeClosed(lastEventId + 1, EVENT_COUNT)
                .mapToObj(number -> event(number, requestId))
                .collect(Collectors.joining());
        return new SentAnswer(requestId, stamp, STATUS_OK, EVENT_STREAM, events);
    }

    /** Returns the answer to the earlier request of a connection, in place of which it keeps the new one. */
    private Option<SentAnswer> replaceLastAnswer(Exchange exchange, SentAnswer answer) {
        Option<SentAnswer> earlier = Option.of(lastAnswers.put(exchange.connectionId(), answer));
        if (earlier.isEmpty()) {
            exchange.onClose(() -> lastAnswers.remove(exchange.connectionId()));
        }
        return earlier;
    }

    private void respond(Exchange exchange, BodyEnd end, Map<String, String> echo, SentAnswer answer, int lastEventId) {
        if (answer.status() != STATUS_OK || !streams && end == BodyEnd.MARKED) {
            listener.finished(answer.requestId());
            exchange.respond(answer.status(), echo, Json.readOrEmpty(answer.body()));
            return;
        }
        end.start(exchange, answer.contentType(), echo);
        if (streams) {
            sendEvent(exchange, end, answer.requestId(), lastEventId + 1);
            return;
        }
        String body = answer.body();
        exchange.sendChunk(end.breaksOff(false) ? body.substring(0, body.length() / 2) : body);
        end.end(exchange);
    }

    private Option<CrashCause> crashCause(Exchange exchange) {
        if (exchange.path().endsWith(CRASHING_PATH_END)) {
            return Option.some(CrashCause.REQUEST);
        }
        String parts = exchange.header(headerNames.promptParts()).getOrElse("");
        return parts.contains(CRASHING_PART + ":") ? Option.some(CrashCause.PROMPT_PART) : Option.none();
    }

    private void sendEvent(Exchange exchange, BodyEnd end, String requestId, int number) {
        if (!exchange.isOpen()) {
            return;
        }
        if (number > EVENT_COUNT) {
            listener.finished(requestId);
            end.end(exchange);
            return;
        }
        String event = event(number, requestId);
        if (number == EVENT_COUNT && end.breaksOff(true)) {
            exchange.sendChunk(event.substring(0, event.length() - 1));
            end.end(exchange);
            return;
        }
        exchange.sendChunk(event);
        long pauseMillis = number == 1 ? listener.pauseMillis() : 0;
        loop.schedule(EVENT_INTERVAL_MILLIS + pauseMillis, () -> sendEvent(exchange, end, requestId, number + 1));
    }

    private String event(int number, String requestId) {
        return "id: " + number + "\ndata: line " + number + " for " + requestId + " by " + id + "\n\n";
    }

    /** Observes a replica and sets what it names. Called on its event loop. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when the replica executes a request.
         *
         * @param request the request
         */
        void executed(ExecutedRequest request);

        /**
         * Called when the replica is about to send a sound answer to a request that it has executed.
         *
         * @param answer the answer
         */
        default void answered(SentAnswer answer) {}

        /**
         * Called when the replica is about to end an answer that marks its end.
         *
         * @param requestId the identifier of the request
         */
        default void finished(String requestId) {}

        /**
         * Returns how long a run pauses: behind the first event of a stream, or before another answer.
         *
         * @return milliseconds
         */
        default long pauseMillis() {
            return 0;
        }

        /** Called when a request arrives that is addressed to the replica, whether it executes it or not. */
        default void arrived() {}

        /**
         * Returns whether the replica says in its responses that it leaves.
         *
         * @return whether it does
         */
        default boolean isLeaving() {
            return false;
        }

        /**
         * Returns the pause that the replica requests as it rejects all requests.
         *
         * @return the seconds, or none if it executes requests
         */
        default Option<Long> pauseSeconds() {
            return Option.none();
        }

        /**
         * Called when the replica crashes under a request.
         *
         * @param cause what crashes it
         */
        default void crashed(CrashCause cause) {}

        /**
         * Returns how the replica ends the body of its next response.
         *
         * @return the end
         */
        default BodyEnd bodyEnd() {
            return BodyEnd.MARKED;
        }

        /**
         * Returns the draws of runs that fail, and of second answers that arrive late.
         *
         * @return the draws, or none if each run succeeds and is answered once
         */
        default Option<LateAnswers> lateAnswers() {
            return Option.none();
        }

        /**
         * Returns the draws of answers with a malformed head.
         *
         * @return the draws, or none if each head is sound
         */
        default Option<MalformedHeads> malformedHeads() {
            return Option.none();
        }

        /**
         * Returns the limit that the replica names in its responses.
         *
         * @return the requests a second that it takes from all hosts together, or none
         */
        default Option<String> rateLimit() {
            return Option.none();
        }
    }

    /** The options. Written by JCommander before any thread reads them, constant afterwards. */
    private static final class Options {
        @Parameter(names = "--store", description = "the store's address", required = true)
        private String store;

        @Parameter(names = "--id", description = "the replica's identifier", required = true)
        private String id;

        @Parameter(names = "--service", description = "the replica's service", required = true)
        private String service;

        @Parameter(names = "--data-centre", description = "the replica's data centre", required = true)
        private String dataCentre;

        @Parameter(names = "--streams", description = "respond with streams")
        private boolean streams;
    }
}
