package org.rattanplank.core;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import io.vavr.Lazy;
import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.request.WorkClass;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.CrashNews;
import org.rattanplank.schema.message.CrashNotice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class NodeTest {
    private static final Location SUVA = Location.of("suva", "suva-hall");
    private static final String DOCUMENT =
            """
            {"generation": 1, "digest": "d", "files": {
              "10": {"kind": "service", "name": "plank-serve", "type": "model", "repeatable": true},
              "20": {"kind": "account", "name": "floor", "homeRegion": "suva", "homeDataCentre": "suva-hall"}}}
            """;

    private static final long FIRST_PREFIX = 1;
    private static final long CRASHING_PREFIX = 2;

    private final Node node = Node.of(new NodeIdentity("suva-1", 1, SUVA), Policy.COST, 1);

    @Test
    void shouldAnswerWhenTargetReturnsCompleteAnswer() {
        configure();
        List<Action> started = node.handle(new Event.CallerRequestReceived(draft("r1")), 20);
        Action.StartAttempt attempt = assertInstanceOf(Action.StartAttempt.class, started.get(0));
        Answer answer = Answer.of(200, "application/json", new byte[] {1});
        List<Action> ended = node.handle(
                new Event.AttemptEnded("r1", attempt.attempt(), new AttemptResult.Completed(answer, List.of())), 30);
        assertEquals(
                List.of(new Action.Finish(
                        "r1",
                        new Outcome.Answered(
                                answer, List.of("suva-1", attempt.route().peer())))),
                ended);
    }

    /** Guards against a request that crashes one target after the other, as each arrival is judged as new. */
    @Test
    void shouldRejectARequestWithoutRetryAfterWhenThreeTargetsCrashedUnderIt() {
        configure();
        for (int i = 1; i <= 3; i++) {
            crashAttempt("r" + i, 10_000L * i);
        }

        List<Action> actions = node.handle(new Event.CallerRequestReceived(crashing("r4", 40_000)), 40_000);

        Action.Finish finish = assertInstanceOf(Action.Finish.class, actions.get(0));
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, finish.outcome());
        assertEquals(0, notRun.retryAfterMillis());
        assertTrue(notRun.failure().toString().contains("quarantined"), notRun::toString);
        assertInstanceOf(
                Action.StartAttempt.class,
                node.handle(new Event.CallerRequestReceived(draft("r5")), 40_000)
                        .get(0));
    }

    /** Guards against retries by a host of a request under which two targets have crashed. */
    @Test
    void shouldNotRetryARequestWhenTwoTargetsCrashedUnderIt() {
        configure();
        crashAttempt("r1", 10_000);

        List<Action> actions = crashAttempt("r2", 20_000);

        assertInstanceOf(Action.Finish.class, actions.get(0));
    }

    /** Guards against a request that is sent often, and is refused because it is in flight at the crashes of another. */
    @Test
    void shouldNotQuarantineARequestThatATargetHasCompletedWhenTargetsCrashUnderIt() {
        configure();
        answerCrashingRequest(200);
        for (int i = 1; i <= 3; i++) {
            crashAttempt("r" + i, 10_000L * i);
        }

        List<Action> actions = node.handle(new Event.CallerRequestReceived(crashing("r4", 40_000)), 40_000);

        assertInstanceOf(Action.StartAttempt.class, actions.get(0));
    }

    /** Guards against a crashing request that is cleared by a failing target, which answered before it ran the request. */
    @Test
    void shouldQuarantineARequestWhenATargetAnsweredItWithAnError() {
        configure();
        answerCrashingRequest(500);
        for (int i = 1; i <= 3; i++) {
            crashAttempt("r" + i, 10_000L * i);
        }

        List<Action> actions = node.handle(new Event.CallerRequestReceived(crashing("r4", 40_000)), 40_000);

        assertInstanceOf(Action.Finish.class, actions.get(0));
    }

    private void answerCrashingRequest(int status) {
        Action.StartAttempt attempt = assertInstanceOf(
                Action.StartAttempt.class,
                node.handle(new Event.CallerRequestReceived(crashing("r0", 5_000)), 5_000)
                        .get(0));
        Answer answer = Answer.of(status, "application/json", new byte[] {1});
        node.handle(
                new Event.AttemptEnded("r0", attempt.attempt(), new AttemptResult.Completed(answer, List.of())), 5_001);
    }

    /** Guards against a host that is connected later and lets a quarantined request through. */
    @Test
    void shouldSendItsEvidenceWhenAHostIsConnected() {
        configure();
        crashAttempt("r1", 10_000);

        List<Action> actions =
                node.handle(new Event.PeerConnected("suva-2", 1, SUVA.region(), SUVA.dataCentre()), 20_000);

        assertTrue(
                actions.stream()
                        .anyMatch(action ->
                                action instanceof Action.SendMessage send && send.message() instanceof CrashNews),
                actions::toString);
    }

    /** Guards against a host that lets a request through under which targets crashed at other hosts. */
    @Test
    void shouldRejectARequestWhenAnotherHostReportsTheCrashes() {
        configure();
        Fingerprint fingerprint = crashing("r1", 10_000).fingerprint().get();
        node.handle(new Event.PeerConnected("suva-2", 1, SUVA.region(), SUVA.dataCentre()), 20_000);
        List<CrashNotice> notices = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            notices.add(new CrashNotice(
                    "plank-" + i, fingerprint.high(), fingerprint.low(), false, 1_000 * i, "", 0, 0, 0));
        }
        node.handle(new Event.MessageReceived("suva-2", 1, new CrashNews(notices)), 20_001);

        List<Action> actions = node.handle(new Event.CallerRequestReceived(crashing("r1", 20_002)), 20_002);

        assertInstanceOf(Action.Finish.class, actions.get(0));
    }

    /** Guards against requests that crash one target after the other, as they share nothing but how they begin. */
    @Test
    void shouldRejectRequestsWithAPrefixWhenTargetsCrashedUnderIt() {
        configure();
        for (int i = 1; i <= 3; i++) {
            crashAttempt(withPrefixes("r" + i, 10_000L * i, FIRST_PREFIX, CRASHING_PREFIX, 100 + i), 10_000L * i);
        }

        List<Action> rejected = node.handle(
                new Event.CallerRequestReceived(withPrefixes("r4", 40_000, FIRST_PREFIX, CRASHING_PREFIX, 104)),
                40_000);
        List<Action> sent =
                node.handle(new Event.CallerRequestReceived(withPrefixes("r5", 40_000, FIRST_PREFIX, 9, 105)), 40_000);

        Action.Finish finish = assertInstanceOf(Action.Finish.class, rejected.get(0));
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, finish.outcome());
        assertTrue(notRun.failure().toString().contains("prompt part"), notRun::toString);
        assertInstanceOf(Action.StartAttempt.class, sent.get(0));
    }

    /** Guards against a host that lets requests through with a prefix under which targets crashed at other hosts. */
    @Test
    void shouldRejectRequestsWithAPrefixWhenAnotherHostReportsTheCrashes() {
        configure();
        for (int i = 1; i <= 3; i++) {
            crashAttempt(withPrefixes("r" + i, 10_000L * i, FIRST_PREFIX, CRASHING_PREFIX, 100 + i), 10_000L * i);
        }
        CrashNews news =
                node.handle(new Event.PeerConnected("suva-2", 1, SUVA.region(), SUVA.dataCentre()), 40_000).stream()
                        .filter(action ->
                                action instanceof Action.SendMessage send && send.message() instanceof CrashNews)
                        .map(action -> (CrashNews) ((Action.SendMessage) action).message())
                        .findFirst()
                        .orElseThrow();
        Node other = Node.of(new NodeIdentity("suva-3", 1, SUVA), Policy.COST, 1);
        configure(other);
        other.handle(new Event.PeerConnected("suva-2", 1, SUVA.region(), SUVA.dataCentre()), 40_000);
        other.handle(new Event.MessageReceived("suva-2", 1, news), 40_001);

        List<Action> rejected = other.handle(
                new Event.CallerRequestReceived(withPrefixes("r4", 40_002, FIRST_PREFIX, CRASHING_PREFIX, 104)),
                40_002);

        assertInstanceOf(Action.Finish.class, rejected.get(0));
    }

    /** Returns a request that no other is like but for the prefixes of its prompt. */
    private static Request withPrefixes(String id, long nowMillis, long... prefixHashes) {
        return request(id, nowMillis, LongStream.of(prefixHashes).boxed().toList(), Fingerprint.ofIdentifier(id));
    }

    /** Starts the crashing request, and ends its attempt as its target crashes. */
    private List<Action> crashAttempt(String id, long nowMillis) {
        return crashAttempt(crashing(id, nowMillis), nowMillis);
    }

    /** Starts a request, and ends its attempt as its target crashes. */
    private List<Action> crashAttempt(Request request, long nowMillis) {
        String id = request.id();
        List<Action> started = node.handle(new Event.CallerRequestReceived(request), nowMillis);
        Action.StartAttempt attempt = assertInstanceOf(Action.StartAttempt.class, started.get(0));
        Failure failure = Failure.of(Step.RECEIVE, attempt.route().peer(), "the connection ended");
        return node.handle(
                new Event.AttemptEnded(id, attempt.attempt(), new AttemptResult.Lost(failure, 0, true)), nowMillis + 1);
    }

    /** Returns the request that crashes targets, as its caller sends it under a new identifier. */
    private static Request crashing(String id, long nowMillis) {
        return request(
                id, nowMillis, List.of(), Lazy.of(() -> Fingerprint.of("floor", "POST", "/crash", new byte[] {1})));
    }

    private static Request request(String id, long nowMillis, List<Long> prefixHashes, Lazy<Fingerprint> fingerprint) {
        Request request = draft(id);
        return new Request(
                id,
                request.account(),
                request.service(),
                request.workClass(),
                request.repeatable(),
                request.idempotencyKey(),
                request.homeRegion(),
                request.residency(),
                nowMillis + 10_000,
                request.promptTokens(),
                request.maxTokens(),
                prefixHashes,
                request.stream(),
                request.passedHosts(),
                request.claimed(),
                fingerprint);
    }

    private void configure() {
        configure(node);
    }

    private static void configure(Node node) {
        ListedHost target = new ListedHost("plank-1", HostRole.TARGET, SUVA, "127.0.0.1", 1, 0, "plank-serve", false);
        node.handle(new Event.HostsListed(new HostList(1, List.of(target))), 10);
        node.handle(
                new Event.StoreReplied(
                        StoreOwner.CONFIGURATION,
                        1,
                        new StoreReply.Found(List.of(new StoreEntry("k", DOCUMENT, 1)), 1)),
                11);
    }

    private static Request draft(String id) {
        return new Request(
                id,
                "floor",
                "plank-serve",
                WorkClass.DRAFT,
                true,
                Option.none(),
                "suva",
                Option.none(),
                100_000,
                100,
                100,
                List.of(),
                false,
                List.of(),
                false,
                Fingerprint.ofIdentifier(id));
    }
}
