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
import org.rattanplank.daemon.runtime.Events;
import org.rattanplank.daemon.runtime.MillisClock;
import org.tinylog.Logger;
import ratpack.error.ServerErrorHandler;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;
import ratpack.http.Response;
import ratpack.server.ServerConfig;

/**
 * The port for callers.
 *
 * <p>Invariant: every request that was read gets one reply or a closed connection; a connection that closes before its
 * reply frees what the request holds. Thread safe.
 */
public final class CallerServer implements AutoCloseable {
    private static final String ENTRY_HOSTS = "Rattanplank-Entry-Hosts";
    private static final int MAX_OTHER_HOSTS = 4;
    private static final long IDLE_GRACE_MILLIS = 60_000;
    private static final int OK = 200;

    private final String host;
    private final Node node;
    private final Calls calls;
    private final Events events;
    private final MillisClock clock;
    private final CallerLimits limits;
    private final Tokens tokens = new Tokens();
    private final AskReader reader;
    private final ConnectionGate gate;
    private final AtomicLong requests = new AtomicLong();
    private final AtomicInteger unsentReplies = new AtomicInteger();
    private Option<GatedServer> server = Option.none();
    private volatile boolean leaving;

    /**
     * Makes a server that is not open yet.
     *
     * @param host this host's name
     * @param node the node
     * @param calls the requests in flight
     * @param events hears what callers do
     * @param clock the clock
     * @param limits what a caller may use up
     */
    public CallerServer(String host, Node node, Calls calls, Events events, MillisClock clock, CallerLimits limits) {
        this.host = host;
        this.node = node;
        this.calls = calls;
        this.events = events;
        this.clock = clock;
        this.limits = limits;
        gate = new ConnectionGate(host, limits.maxConnections(), limits.readTimeoutMillis());
        reader = new AskReader(tokens, limits.defaultTimeoutMillis(), limits.maxTimeoutMillis());
    }

    /**
     * Opens the port.
     *
     * @param address the IP address
     * @param port the port, zero for a free one
     * @param threads the event loops
     * @return the port that is open, or why none is
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
            GatedServer made = new GatedServer(
                    spec -> spec.serverConfig(config)
                            .registryOf(registry -> registry.add(ServerErrorHandler.class, this::failed))
                            .handlers(chain -> chain.all(this::handle)),
                    gate);
            made.start();
            server = Option.some(made);
            return made.getBindPort();
        });
    }

    /**
     * Counts the requests whose reply has not gone out whole.
     *
     * @return the number
     */
    public int unsentReplies() {
        return unsentReplies.get();
    }

    /**
     * Counts the open connections.
     *
     * @return the number
     */
    public int connections() {
        return gate.connections();
    }

    /**
     * Counts the connections and requests that ever came.
     *
     * @return the number, which only grows
     */
    public long arrivals() {
        return gate.accepted() + requests.get();
    }

    /** Tells each caller with its next reply that its connection ends, so that kept ones are not used to the very end. */
    public void leave() {
        leaving = true;
    }

    /** Takes no more connections; requests on those that are open are still answered. */
    public void stopAccepting() {
        server.forEach(GatedServer::stopAccepting);
    }

    /**
     * Tells whether no more connections come.
     *
     * @return whether the port is closed and the last that waited there were accepted
     */
    public boolean isPortClosed() {
        return server.forAll(GatedServer::isPortClosed);
    }

    /** Ends the connections that carry no request, each after a last look at what has come over it. */
    public void endIdle() {
        gate.endIdle();
    }

    @Override
    public void close() {
        server.forEach(open -> Try.run(open::stop));
    }

    private void handle(Context context) {
        requests.incrementAndGet();
        unsentReplies.incrementAndGet();
        context.onClose(outcome -> unsentReplies.decrementAndGet());
        context.getRequest()
                .getBody(limits.maxBodyBytes(), () -> send(context, bodyTooLarge()))
                .then(body -> dispatch(context, askOf(context, body.getBytes())));
    }

    /** A fault of this host: the request may have run or not. */
    private void failed(Context context, Throwable fault) {
        if (!(fault instanceof ConnectionClosedException)) {
            Logger.error(fault, "caller: a request failed");
        }
        Failure failure = Failure.of(Step.ACCEPT, host, "the entry host failed");
        send(context, Replies.of("", new Outcome.Unknown(failure), false));
    }

    private void dispatch(Context context, HttpAsk ask) {
        String path = ask.path();
        if (path.equals(AskReader.CHAT) || path.startsWith(AskReader.SERVICES)) {
            serve(context, ask);
        } else if (path.equals("v1/entry-hosts")) {
            send(context, entryHosts(ask));
        } else if (path.equals("v1/idempotency-keys")) {
            send(context, newKey(ask));
        } else if (path.equals("healthz")) {
            send(context, Replies.json(OK, Map.of("status", "alive")));
        } else if (path.equals("readyz")) {
            send(context, ready());
        } else {
            send(context, Replies.of("", Refusal.accept(Refusal.NOT_FOUND, "", "no such call")));
        }
    }

    private void serve(Context context, HttpAsk ask) {
        if (calls.isFull()) {
            send(context, Replies.of("", Refusal.busy(host, "too many requests are in flight")));
            return;
        }
        Either<Refusal, Asked> read = reader.read(ask, node.configuration(), clock.nowMillis());
        if (read.isLeft()) {
            send(context, Replies.of("", read.getLeft()));
            return;
        }
        serve(context, read.get());
    }

    private void serve(Context context, Asked asked) {
        String requestId = asked.request().id();
        long deadlineMillis = asked.request().deadlineMillis();
        Channel channel = context.getDirectChannelAccess().getChannel();
        PartQueue parts = new PartQueue(channel, limits.streamBufferBytes());
        HttpAsker asker = new HttpAsker(requestId, host, () -> clock.nowMillis() >= deadlineMillis, parts);
        context.getRequest().setIdleTimeout(Duration.ofMillis(deadlineMillis - clock.nowMillis() + IDLE_GRACE_MILLIS));
        noticeWhenGone(context, channel, requestId, asker);
        calls.add(Call.of(asked.request(), asked.envelope(), asker));
        if (!events.offer(new Event.CallerRequestReceived(asked.request()))) {
            calls.remove(requestId);
            send(context, Replies.of(requestId, Refusal.busy(host, "too many events wait")));
            return;
        }
        await(asker.reply()).then(reply -> send(context, reply, parts));
    }

    /** A caller who is gone would otherwise hold a target until the deadline, and this host's stop for ever. */
    private void noticeWhenGone(Context context, Channel channel, String requestId, HttpAsker asker) {
        ChannelFutureListener gone = future -> left(requestId, asker);
        channel.closeFuture().addListener(gone);
        context.onClose(outcome -> {
            channel.closeFuture().removeListener(gone);
            left(requestId, asker);
        });
    }

    private void left(String requestId, HttpAsker asker) {
        if (calls.find(requestId).isDefined()) {
            calls.remove(requestId);
            events.raise(new Event.RequesterLeft(requestId));
            asker.abandon();
        }
    }

    private CallerReply entryHosts(HttpAsk ask) {
        String account = tokens.accountOf(ask.header("Authorization"), node.configuration())
                .map(Account::name)
                .getOrElse("");
        return Replies.json(OK, node.entryHosts(account, clock.nowMillis()));
    }

    private CallerReply newKey(HttpAsk ask) {
        if (tokens.accountOf(ask.header("Authorization"), node.configuration()).isEmpty()) {
            return Replies.of("", Refusal.accept(Refusal.UNAUTHORIZED, "", "the token is not known"));
        }
        return Replies.json(OK, Map.of("key", Uuids.version7(clock.nowMillis())));
    }

    private CallerReply ready() {
        return node.isReady()
                ? Replies.json(OK, Map.of("status", "ready"))
                : Replies.of("", Refusal.busy(host, "no configuration is in force, or the host is leaving"));
    }

    private CallerReply bodyTooLarge() {
        String reason = "the body is larger than " + limits.maxBodyBytes() + " bytes";
        return Replies.of("", Refusal.accept(Refusal.BODY_TOO_LARGE, "", reason));
    }

    private static HttpAsk askOf(Context context, byte[] body) {
        Map<String, String> headers = new TreeMap<>();
        context.getRequest()
                .getHeaders()
                .getNames()
                .forEach(name ->
                        headers.put(name, context.getRequest().getHeaders().get(name)));
        return new HttpAsk(
                context.getRequest().getMethod().getName(),
                context.getRequest().getPath(),
                context.getRequest().getQuery(),
                headers,
                body);
    }

    private static Promise<CallerReply> await(CompletableFuture<CallerReply> reply) {
        return Promise.async(downstream -> reply.thenAccept(downstream::success));
    }

    private void send(Context context, CallerReply reply) {
        head(context, reply).send(reply.body());
    }

    private void send(Context context, CallerReply reply, PartQueue parts) {
        if (reply.stream()) {
            head(context, reply).sendStream(parts);
        } else {
            send(context, reply);
        }
    }

    private Response head(Context context, CallerReply reply) {
        Response response = context.getResponse().noCompress();
        if (leaving) {
            response.forceCloseConnection();
        }
        response.status(ratpack.http.Status.of(reply.status()));
        reply.headers().forEach((name, value) -> response.getHeaders().set(name, value));
        if (reply.status() == Refusal.UNAVAILABLE) {
            response.getHeaders().set(ENTRY_HOSTS, otherHosts());
        }
        return reply.contentType().isEmpty() ? response : response.contentType(reply.contentType());
    }

    /** A host that leaves or is full names others, so that its callers need not wait to ask elsewhere. */
    private String otherHosts() {
        return node.entryHosts("", clock.nowMillis()).hosts().stream()
                .filter(other -> !other.host().equals(host))
                .limit(MAX_OTHER_HOSTS)
                .map(other -> other.address() + ":" + other.port())
                .collect(Collectors.joining(","));
    }
}
