package org.rattanplank.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.Lazy;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.core.intent.Account;
import org.rattanplank.core.intent.Configuration;
import org.rattanplank.core.intent.Service;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;
import org.rattanplank.daemon.call.Envelope;

/**
 * Parses an HTTP request of a caller into a request for the core, or rejects it. Immutable and thread safe.
 *
 * @param authenticator authenticates the client account
 * @param defaultTimeoutMillis the timeout of a request that sets none
 * @param maxTimeoutMillis the upper limit of a request's timeout
 */
record RequestParser(TokenAuthenticator authenticator, long defaultTimeoutMillis, long maxTimeoutMillis) {
    static final String CHAT_PATH = "v1/chat/completions";
    static final String SERVICES_PREFIX = "services/";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> RETRYABLE_METHODS = Set.of("GET", "HEAD");
    private static final int MAX_KEY_LENGTH_CHARS = 255;

    Either<Rejection, ParsedRequest> parse(CallerRequest callerRequest, Configuration configuration, long nowMillis) {
        if (configuration.generation() == 0) {
            // Without a configuration no token can be verified, and a 401 would make a caller with a valid token stop
            // retrying.
            return Either.left(Rejection.busy("", "no configuration is in effect yet"));
        }
        Option<Account> account = authenticator.accountOf(callerRequest.header("Authorization"), configuration);
        if (account.isEmpty()) {
            return Either.left(Rejection.invalid(Rejection.UNAUTHORIZED, "", "the bearer token is missing or unknown"));
        }
        return callerRequest.path().equals(CHAT_PATH)
                ? parseChat(callerRequest, account.get(), configuration, nowMillis)
                : parsePlain(callerRequest, account.get(), configuration, nowMillis);
    }

    private Either<Rejection, ParsedRequest> parseChat(
            CallerRequest callerRequest, Account account, Configuration configuration, long nowMillis) {
        Try<JsonNode> json = Try.of(() -> JSON.readTree(callerRequest.body()));
        if (!callerRequest.method().equals("POST") || json.isFailure() || !(json.get() instanceof ObjectNode chat)) {
            return Either.left(
                    Rejection.invalid(Rejection.BAD_REQUEST, "", "the request is not a POST of a JSON object"));
        }
        String model = chat.path("model").asText();
        Option<Service> service = configuration.service(model).filter(Service::model);
        if (service.isEmpty()) {
            return Either.left(Rejection.invalid(Rejection.NOT_FOUND, model, "unknown model"));
        }
        boolean stream = chat.path("stream").asBoolean(false);
        if (stream && !service.get().repeatable()) {
            // A claim stores the complete response for its idempotency key, which a stream does not provide.
            return Either.left(Rejection.invalid(
                    Rejection.BAD_REQUEST,
                    model,
                    "streaming is not supported for a model whose requests must not be retried"));
        }
        return parseOptions(callerRequest, service.get(), WorkClass.DRAFT).map(options -> {
            chat.put("priority", options.workClass().enginePriority());
            RequestSubject subject =
                    new RequestSubject(service.get(), service.get().repeatable(), PromptEstimate.ofChat(chat), stream);
            String path = "/" + CHAT_PATH;
            byte[] body = chat.toString().getBytes(StandardCharsets.UTF_8);
            Lazy<Fingerprint> fingerprint =
                    Envelope.fingerprint(account.name(), model, callerRequest.method(), path, body);
            Request request = requestOf(callerRequest, account, subject, options, fingerprint, nowMillis);
            return new ParsedRequest(request, envelopeOf(callerRequest, path, "application/json", body, request));
        });
    }

    private Either<Rejection, ParsedRequest> parsePlain(
            CallerRequest callerRequest, Account account, Configuration configuration, long nowMillis) {
        String servicePath = callerRequest.path().substring(SERVICES_PREFIX.length());
        int slash = servicePath.indexOf('/');
        String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
        Option<Service> service = configuration.service(name).filter(candidate -> !candidate.model());
        if (service.isEmpty()) {
            return Either.left(Rejection.invalid(Rejection.NOT_FOUND, name, "unknown service"));
        }
        String path = (slash < 0 ? "/" : servicePath.substring(slash))
                + (callerRequest.query().isEmpty() ? "" : "?" + callerRequest.query());
        boolean repeatable = RETRYABLE_METHODS.contains(callerRequest.method())
                || service.get().repeatable();
        RequestSubject subject = new RequestSubject(
                service.get(), repeatable, PromptEstimate.ofBytes(callerRequest.body().length), false);
        return parseOptions(callerRequest, service.get(), WorkClass.INTERACTIVE).map(options -> {
            Lazy<Fingerprint> fingerprint =
                    Envelope.fingerprint(account.name(), name, callerRequest.method(), path, callerRequest.body());
            Request request = requestOf(callerRequest, account, subject, options, fingerprint, nowMillis);
            String contentType = callerRequest.header("Content-Type").getOrElse("");
            return new ParsedRequest(
                    request, envelopeOf(callerRequest, path, contentType, callerRequest.body(), request));
        });
    }

    private Either<Rejection, RequestOptions> parseOptions(
            CallerRequest callerRequest, Service service, WorkClass defaultClass) {
        Option<String> className = callerRequest.header("Rattanplank-Class");
        Option<WorkClass> workClass = className.flatMap(WorkClass::of);
        if (className.isDefined() && workClass.isEmpty()) {
            return Either.left(Rejection.invalid(
                    Rejection.BAD_REQUEST, service.name(), "unknown work class in Rattanplank-Class"));
        }
        Option<String> timeout = callerRequest.header("Rattanplank-Timeout-Millis");
        long timeoutMillis = timeout.map(
                        text -> Try.of(() -> Long.parseLong(text)).getOrElse(0L))
                .getOrElse(defaultTimeoutMillis);
        if (timeoutMillis <= 0) {
            return Either.left(Rejection.invalid(
                    Rejection.BAD_REQUEST, service.name(), "Rattanplank-Timeout-Millis is not a positive integer"));
        }
        Option<String> key = callerRequest.header("Idempotency-Key");
        if (key.exists(text -> text.length() > MAX_KEY_LENGTH_CHARS)) {
            return Either.left(Rejection.invalid(
                    Rejection.BAD_REQUEST,
                    service.name(),
                    "the idempotency key is longer than " + MAX_KEY_LENGTH_CHARS + " characters"));
        }
        return Either.right(
                new RequestOptions(workClass.getOrElse(defaultClass), Math.min(timeoutMillis, maxTimeoutMillis), key));
    }

    private static Request requestOf(
            CallerRequest callerRequest,
            Account account,
            RequestSubject subject,
            RequestOptions options,
            Lazy<Fingerprint> fingerprint,
            long nowMillis) {
        return new Request(
                Uuids.version7(nowMillis),
                account.name(),
                subject.service().name(),
                options.workClass(),
                subject.repeatable(),
                options.idempotencyKey(),
                account.homeRegion(),
                callerRequest.header("Rattanplank-Residency"),
                nowMillis + options.timeoutMillis(),
                subject.estimate().promptTokens(),
                subject.estimate().maxTokens(),
                subject.estimate().prefixHashes(),
                subject.stream(),
                List.of(),
                false,
                fingerprint);
    }

    private static Envelope envelopeOf(
            CallerRequest callerRequest, String path, String contentType, byte[] body, Request request) {
        return new Envelope(
                callerRequest.method(),
                path,
                contentType,
                body,
                callerRequest.header("traceparent").getOrElse(""),
                request.id());
    }

    /** Options of a request that its headers set. */
    private record RequestOptions(WorkClass workClass, long timeoutMillis, Option<String> idempotencyKey) {}

    /** The service that a request addresses and the properties that follow from the body. */
    private record RequestSubject(Service service, boolean repeatable, PromptEstimate estimate, boolean stream) {}
}
