package org.rattanplank.daemon.caller;

import java.net.InetAddress;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.Event;
import org.rattanplank.core.Node;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Step;
import org.rattanplank.daemon.call.Call;
import org.rattanplank.daemon.call.Calls;
import org.rattanplank.daemon.runtime.EventSink;
import org.rattanplank.daemon.runtime.MillisClock;
import org.tinylog.Logger;
import ratpack.error.ServerErrorHandler;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;
import ratpack.http.Response;
import ratpack.server.ServerConfig;

/**
 * HTTP server for callers.
 *
 * <p>Invariant: every request that was read gets exactly one response or a closed connection; when a connection closes
 * before the response, the resources of the request are released. Thread safe.
 */
public final class CallerServer implements AutoCloseable {
    private static final String ENTRY_HOSTS_HEADER = "Rattanplank-Entry-Hosts";
    private static final int MAX_ALTERNATIVE_HOSTS = 4;
    private static final long IDLE_TIMEOUT_GRACE_MILLIS = 60_000;
    private static final int OK = 200;

    private final String host;
    private final Node node;
    private final Calls calls;
    private final EventSink eventSink;
    private final MillisClock clock;
    private final CallerLimits limits;
    private final TokenAuthenticator authenticator = new TokenAuthenticator();
    private final RequestParser parser;
    private final ConnectionLimiter connectionLimiter;
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicInteger unsentResponses = new AtomicInteger();
    private Option<ConnectionLimitingServer> server = Option.none();
    private volatile boolean leaving;

    /**
     * Creates a server that is not open yet.
     *
     * @param host this host's name
     * @param node the node
     * @param calls the requests in flight
     * @param eventSink receives the events that callers cause
     * @param clock the clock
     * @param limits the limits on connections and requests
     */
    public CallerServer(
            String host, Node node, Calls calls, EventSink eventSink, MillisClock clock, CallerLimits limits) {
        this.host = host;
        this.node = node;
        this.calls = calls;
        this.eventSink = eventSink;
        this.clock = clock;
        this.limits = limits;
        connectionLimiter = new ConnectionLimiter(host, limits.maxConnections(), limits.readTimeoutMillis());
        parser = new RequestParser(authenticator, limits.defaultTimeoutMillis(), limits.maxTimeoutMillis());
    }

    /**
     * Opens the port.
     *
     * @param address the IP address
     * @param port the port, or zero for any free port
     * @param threads the number of event loops
     * @return the bound port, or the error if it cannot be opened
     */
    public Try<Integer> open(String address, int port, int threads) {
        return Try.of(() -> {
            ServerConfig config = ServerConfig.builder()
                    .address(InetAddress.getByName(address))
                    .port(port)
                    .threads(threads)
                    .development(false)
                    .registerShutdownHook(false)
                    .maxContentLength(limits.maxBodyBytes())
                    .maxInitialLineLength(limits.maxHeaderBytes())
                    .maxHeaderSize(limits.maxHeaderBytes())
                    .idleTimeout(Duration.ofMillis(limits.idleTimeoutMillis()))
                    .build();
            ConnectionLimitingServer started = new ConnectionLimitingServer(
                    spec -> spec.serverConfig(config)
                            .registryOf(registry -> registry.add(ServerErrorHandler.class, this::onError))
                            .handlers(chain -> chain.all(this::handle)),
                    connectionLimiter);
            started.start();
            server = Option.some(started);
            return started.getBindPort();
        });
    }

    /**
     * Returns the number of requests whose response has not been sent completely.
     *
     * @return the number of requests
     */
    public int unsentResponses() {
        return unsentResponses.get();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections
     */
    public int openConnections() {
        return connectionLimiter.openConnections();
    }

    /**
     * Returns the number of connections and requests received since the start.
     *
     * @return the number, which never decreases
     */
    public long arrivals() {
        return connectionLimiter.acceptedConnections() + requestCount.get();
    }

    /** Announces the close of each connection with its next response, so that callers stop reusing persistent connections. */
    public void startLeaving() {
        leaving = true;
    }

    /** Stops accepting connections; requests on open connections still get responses. */
    public void stopAccepting() {
        server.forEach(ConnectionLimitingServer::stopAccepting);
    }

    /**
     * Returns whether no further connection can be accepted.
     *
     * @return whether the port is closed and the pending connections were accepted
     */
    public boolean isPortClosed() {
        return server.forAll(ConnectionLimitingServer::isPortClosed);
    }

    /** Closes the connections without a request, after reading each socket once more. */
    public void closeIdleConnections() {
        connectionLimiter.closeIdleConnections();
    }

    /** Rejects the requests of which only a part has arrived, after reading each socket once more. */
    public void rejectIncompleteRequests() {
        connectionLimiter.rejectIncompleteRequests();
    }

    @Override
    public void close() {
        server.forEach(open -> Try.run(open::stop));
    }

    private void handle(Context context) {
        requestCount.incrementAndGet();
        unsentResponses.incrementAndGet();
        context.onClose(outcome -> unsentResponses.decrementAndGet());
        context.getRequest()
                .getBody(limits.maxBodyBytes(), () -> send(context, bodyTooLarge()))
                .then(body -> dispatch(context, requestOf(context, body.getBytes())));
    }

    /** Responds with an unknown outcome after an internal error, since the request may have run. */
    private void onError(Context context, Throwable error) {
        if (!(error instanceof ConnectionClosedException)) {
            Logger.error(error, "caller: internal error while handling a request");
        }
        Failure failure = Failure.of(Step.ACCEPT, host, "internal error of the entry host");
        send(context, CallerResponses.of("", new Outcome.Unknown(failure), false));
    }

    private void dispatch(Context context, CallerRequest callerRequest) {
        String path = callerRequest.path();
        if (path.equals(RequestParser.CHAT_PATH) || path.startsWith(RequestParser.SERVICES_PREFIX)) {
            serve(context, callerRequest);
        } else if (path.equals("v1/entry-hosts")) {
            send(context, entryHosts(callerRequest));
        } else if (path.equals("v1/idempotency-keys")) {
            send(context, newIdempotencyKey(callerRequest));
        } else if (path.equals("healthz")) {
            send(context, CallerResponses.json(OK, Map.of("status", "alive")));
        } else if (path.equals("readyz")) {
            send(context, readiness());
        } else {
            send(context, CallerResponses.of("", Rejection.invalid(Rejection.NOT_FOUND, "", "unknown path")));
        }
    }

    private void serve(Context context, CallerRequest callerRequest) {
        if (calls.isFull()) {
            send(context, CallerResponses.of("", Rejection.busy(host, "too many requests in flight")));
            return;
        }
        Either<Rejection, ParsedRequest> parsed = parser.parse(callerRequest, node.configuration(), clock.nowMillis());
        if (parsed.isLeft()) {
            send(context, CallerResponses.of("", parsed.getLeft()));
            return;
        }
        serve(context, parsed.get());
    }

    private void serve(Context context, ParsedRequest parsed) {
        String requestId = parsed.request().id();
        long deadlineMillis = parsed.request().deadlineMillis();
        Channel channel = context.getDirectChannelAccess().getChannel();
        StreamEventPublisher streamEvents = new StreamEventPublisher(channel, limits.streamBufferBytes());
        HttpRequester requester =
                new HttpRequester(requestId, host, () -> clock.nowMillis() >= deadlineMillis, streamEvents);
        context.getRequest()
                .setIdleTimeout(Duration.ofMillis(deadlineMillis - clock.nowMillis() + IDLE_TIMEOUT_GRACE_MILLIS));
        detectDisconnect(context, channel, requestId, requester);
        calls.add(Call.of(parsed.request(), parsed.envelope(), requester));
        if (!eventSink.offer(new Event.CallerRequestReceived(parsed.request()))) {
            calls.remove(requestId);
            send(context, CallerResponses.of(requestId, Rejection.busy(host, "event queue is full")));
            return;
        }
        await(requester.response()).then(response -> send(context, response, streamEvents));
    }

    /** Detects a disconnected caller, which would otherwise occupy a target until the deadline and block a graceful stop. */
    private void detectDisconnect(Context context, Channel channel, String requestId, HttpRequester requester) {
        ChannelFutureListener disconnected = future -> requesterLeft(requestId, requester);
        channel.closeFuture().addListener(disconnected);
        context.onClose(outcome -> {
            channel.closeFuture().removeListener(disconnected);
            requesterLeft(requestId, requester);
        });
    }

    private void requesterLeft(String requestId, HttpRequester requester) {
        if (calls.find(requestId).isDefined()) {
            calls.remove(requestId);
            eventSink.raise(new Event.RequesterLeft(requestId));
            requester.abandon();
        }
    }

    private CallerResponse entryHosts(CallerRequest callerRequest) {
        String account = authenticator
                .accountOf(callerRequest.header("Authorization"), node.configuration())
                .map(Account::name)
                .getOrElse("");
        return CallerResponses.json(OK, node.entryHosts(account, clock.nowMillis()));
    }

    private CallerResponse newIdempotencyKey(CallerRequest callerRequest) {
        if (authenticator
                .accountOf(callerRequest.header("Authorization"), node.configuration())
                .isEmpty()) {
            return CallerResponses.of(
                    "", Rejection.invalid(Rejection.UNAUTHORIZED, "", "the bearer token is missing or unknown"));
        }
        return CallerResponses.json(OK, Map.of("key", Uuids.version7(clock.nowMillis())));
    }

    private CallerResponse readiness() {
        return node.isReady()
                ? CallerResponses.json(OK, Map.of("status", "ready"))
                : CallerResponses.of("", Rejection.busy(host, "no configuration is in effect, or the host is leaving"));
    }

    private CallerResponse bodyTooLarge() {
        String reason = "the request body is larger than " + limits.maxBodyBytes() + " bytes";
        return CallerResponses.of("", Rejection.invalid(Rejection.BODY_TOO_LARGE, "", reason));
    }

    private static CallerRequest requestOf(Context context, byte[] body) {
        Map<String, String> headers = new TreeMap<>();
        context.getRequest()
                .getHeaders()
                .getNames()
                .forEach(name ->
                        headers.put(name, context.getRequest().getHeaders().get(name)));
        return new CallerRequest(
                context.getRequest().getMethod().getName(),
                context.getRequest().getPath(),
                context.getRequest().getQuery(),
                headers,
                body);
    }

    private static Promise<CallerResponse> await(CompletableFuture<CallerResponse> response) {
        return Promise.async(downstream -> response.thenAccept(downstream::success));
    }

    private void send(Context context, CallerResponse callerResponse) {
        prepareResponse(context, callerResponse).send(callerResponse.body());
    }

    private void send(Context context, CallerResponse callerResponse, StreamEventPublisher streamEvents) {
        if (callerResponse.stream()) {
            prepareResponse(context, callerResponse).sendStream(streamEvents);
        } else {
            send(context, callerResponse);
        }
    }

    private Response prepareResponse(Context context, CallerResponse callerResponse) {
        Response response = context.getResponse().noCompress();
        if (leaving) {
            response.forceCloseConnection();
        }
        response.status(ratpack.http.Status.of(callerResponse.status()));
        callerResponse.headers().forEach((name, value) -> response.getHeaders().set(name, value));
        if (callerResponse.status() == Rejection.UNAVAILABLE) {
            response.getHeaders().set(ENTRY_HOSTS_HEADER, alternativeHosts());
        }
        return callerResponse.contentType().isEmpty() ? response : response.contentType(callerResponse.contentType());
    }

    /** Returns other entry hosts for callers that a leaving or full host rejects, so that they can retry without waiting. */
    private String alternativeHosts() {
        return node.entryHosts("", clock.nowMillis()).hosts().stream()
                .filter(entryHost -> !entryHost.host().equals(host))
                .limit(MAX_ALTERNATIVE_HOSTS)
                .map(entryHost -> entryHost.address() + ":" + entryHost.port())
                .collect(Collectors.joining(","));
    }
}
