package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;
import org.rattanplank.daemon.call.Envelope;

/**
 * Turns what a caller sent into a request, or says why it is none. Immutable and thread safe.
 *
 * @param tokens finds the accounts
 * @param defaultTimeoutMillis the deadline of a request that states none
 * @param maxTimeoutMillis the longest deadline
 */
record AskReader(Tokens tokens, long defaultTimeoutMillis, long maxTimeoutMillis) {
    static final String CHAT = "v1/chat/completions";
    static final String SERVICES = "services/";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> REPEATABLE_METHODS = Set.of("GET", "HEAD");
    private static final int MAX_KEY_LENGTH = 255;

    Either<Refusal, Asked> read(HttpAsk ask, Configuration configuration, long nowMillis) {
        if (configuration.generation() == 0) {
            // Without a configuration no token is known; 401 would tell a caller with a sound token to give up for
            // good.
            return Either.left(Refusal.busy("", "no configuration is in force yet"));
        }
        Option<Account> account = tokens.accountOf(ask.header("Authorization"), configuration);
        if (account.isEmpty()) {
            return Either.left(Refusal.accept(Refusal.UNAUTHORIZED, "", "the token is not known"));
        }
        return ask.path().equals(CHAT)
                ? chat(ask, account.get(), configuration, nowMillis)
                : plain(ask, account.get(), configuration, nowMillis);
    }

    private Either<Refusal, Asked> chat(HttpAsk ask, Account account, Configuration configuration, long nowMillis) {
        Try<JsonNode> read = Try.of(() -> JSON.readTree(ask.body()));
        if (!ask.method().equals("POST") || read.isFailure() || !(read.get() instanceof ObjectNode chat)) {
            return Either.left(Refusal.accept(Refusal.BAD_REQUEST, "", "the call is no POST of a JSON object"));
        }
        String model = chat.path("model").asText();
        Option<Service> service = configuration.service(model).filter(Service::model);
        if (service.isEmpty()) {
            return Either.left(Refusal.accept(Refusal.NOT_FOUND, model, "no such model"));
        }
        boolean stream = chat.path("stream").asBoolean(false);
        if (stream && !service.get().repeatable()) {
            // A claim keeps a whole answer for its key, and a stream leaves none to keep.
            return Either.left(
                    Refusal.accept(Refusal.BAD_REQUEST, model, "a call that may not be repeated cannot be a stream"));
        }
        return preferences(ask, service.get(), WorkClass.DRAFT).map(preferences -> {
            chat.put("priority", preferences.workClass().enginePriority());
            Subject subject = new Subject(service.get(), service.get().repeatable(), Estimate.ofChat(chat), stream);
            Request request = request(ask, account, subject, preferences, nowMillis);
            byte[] body = chat.toString().getBytes(StandardCharsets.UTF_8);
            return new Asked(request, envelope(ask, "/" + CHAT, "application/json", body, request));
        });
    }

    private Either<Refusal, Asked> plain(HttpAsk ask, Account account, Configuration configuration, long nowMillis) {
        String rest = ask.path().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        Option<Service> service = configuration.service(name).filter(found -> !found.model());
        if (service.isEmpty()) {
            return Either.left(Refusal.accept(Refusal.NOT_FOUND, name, "no such service"));
        }
        String path = (slash < 0 ? "/" : rest.substring(slash)) + (ask.query().isEmpty() ? "" : "?" + ask.query());
        boolean repeatable =
                REPEATABLE_METHODS.contains(ask.method()) || service.get().repeatable();
        Subject subject = new Subject(service.get(), repeatable, Estimate.ofBytes(ask.body().length), false);
        return preferences(ask, service.get(), WorkClass.INTERACTIVE).map(preferences -> {
            Request request = request(ask, account, subject, preferences, nowMillis);
            String contentType = ask.header("Content-Type").getOrElse("");
            return new Asked(request, envelope(ask, path, contentType, ask.body(), request));
        });
    }

    private Either<Refusal, Preferences> preferences(HttpAsk ask, Service service, WorkClass usual) {
        Option<String> className = ask.header("Rattanplank-Class");
        Option<WorkClass> workClass = className.flatMap(WorkClass::of);
        if (className.isDefined() && workClass.isEmpty()) {
            return Either.left(Refusal.accept(Refusal.BAD_REQUEST, service.name(), "no such class of work"));
        }
        Option<String> timeout = ask.header("Rattanplank-Timeout-Millis");
        long timeoutMillis = timeout.map(
                        text -> Try.of(() -> Long.parseLong(text)).getOrElse(0L))
                .getOrElse(defaultTimeoutMillis);
        if (timeoutMillis <= 0) {
            return Either.left(
                    Refusal.accept(Refusal.BAD_REQUEST, service.name(), "the timeout is no positive number"));
        }
        Option<String> key = ask.header("Idempotency-Key");
        if (key.exists(text -> text.length() > MAX_KEY_LENGTH)) {
            return Either.left(Refusal.accept(Refusal.BAD_REQUEST, service.name(), "the idempotency key is too long"));
        }
        return Either.right(
                new Preferences(workClass.getOrElse(usual), Math.min(timeoutMillis, maxTimeoutMillis), key));
    }

    private static Request request(
            HttpAsk ask, Account account, Subject subject, Preferences preferences, long nowMillis) {
        return new Request(
                Uuids.version7(nowMillis),
                account.name(),
                subject.service().name(),
                preferences.workClass(),
                subject.repeatable(),
                preferences.key(),
                account.homeRegion(),
                ask.header("Rattanplank-Residency"),
                nowMillis + preferences.timeoutMillis(),
                subject.estimate().promptTokens(),
                subject.estimate().maxTokens(),
                subject.estimate().prefixHashes(),
                subject.stream(),
                List.of(),
                false);
    }

    private static Envelope envelope(HttpAsk ask, String path, String contentType, byte[] body, Request request) {
        return new Envelope(
                ask.method(), path, contentType, body, ask.header("traceparent").getOrElse(""), request.id());
    }

    /** What the headers say of how to serve a request. */
    private record Preferences(WorkClass workClass, long timeoutMillis, Option<String> key) {}

    /** What is asked for. */
    private record Subject(Service service, boolean repeatable, Estimate estimate, boolean stream) {}
}
