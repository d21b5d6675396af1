package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.store.ClusterEvent;
import org.rattanplank.gateway.target.AttemptFailure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests that crash each target that runs them. */
@Timeout(60)
class CrashQuarantineFlowTest extends CrashingTargetsFixture {
    /** The maximum number of targets that one request may crash before it is quarantined. */
    private static final int MAX_CRASHES = 3;

    private static final int TARGETS = 4;
    private static final String CRASHING_PATH = "/a/crash";
    private static final int RETRIES = 4;

    /** Longer than a target may be silent before its attempt is given up. */
    private static final long LONG_SILENCE_MILLIS = 3_000;

    private volatile String crashingPath = CRASHING_PATH;
    private volatile int answerStatus = 200;
    private volatile long answerDelayMillis;
    private int requests;

    @Override
    boolean isCrashing(String request) {
        return request.startsWith("POST " + crashingPath + " ");
    }

    @Override
    void answer(String request, OutputStream out) throws IOException {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(answerDelayMillis));
        TestTarget.write(out, TestTarget.answer(request, answerStatus, "done"));
    }

    /** Sends a request under a new identifier and returns the head of its response. */
    private String send(TestGateway gateway, String path) throws IOException {
        return gateway.caller().send(request(path)).readUntil("\r\n\r\n");
    }

    /** Sends the crashing request more often than targets may crash. */
    private void sendOften(TestGateway gateway) throws IOException {
        for (int i = 0; i < RETRIES; i++) {
            send(gateway, CRASHING_PATH);
        }
    }

    /** Returns a request under a new identifier. */
    private String request(String path) {
        requests++;
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q" + requests
                + "\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx";
    }

    /** Guards against a request that crashes one target after the other, as each arrival is judged as new. */
    @Test
    void shouldQuarantineARequestWhenThreeTargetsCrashedUnderIt() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);

        String lastResponse = "";
        for (int i = 0; i < RETRIES; i++) {
            lastResponse = send(gateway, CRASHING_PATH);
        }

        assertEquals(MAX_CRASHES, crashes.get());
        assertTrue(lastResponse.startsWith("HTTP/1.1 503 "), lastResponse);
        assertFalse(lastResponse.toLowerCase(java.util.Locale.ROOT).contains("retry-after"), lastResponse);
        assertTrue(send(gateway, "/a/other").startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a request that crashes targets through one host after the other, also of other regions. */
    @Test
    void shouldQuarantineARequestWhenTargetsCrashedUnderItAtSeveralHosts() throws Exception {
        TestGateway one = gateway("h1", "suva");
        TestGateway other = gateway("h2", "labasa");
        one.connect(other);
        addTargets(one, "t", TARGETS);
        addTargets(other, "u", TARGETS);

        for (int i = 0; i < RETRIES; i++) {
            send(one, CRASHING_PATH);
            send(other, CRASHING_PATH);
        }

        assertEquals(MAX_CRASHES, crashes.get());
        assertTrue(send(one, "/a/other").startsWith("HTTP/1.1 200 "));
        assertTrue(send(other, "/a/other").startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a host that starts or is connected again and lets a quarantined request through. */
    @Test
    void shouldRejectAQuarantineEntryWhenAHostConnectsLater() throws Exception {
        TestGateway one = gatewayWithQuarantine();
        TestGateway later = gateway("h2", "labasa");
        addTargets(later, "u", TARGETS);
        one.connect(later);
        later.awaitLogged("\"event\":\"quarantined\"");

        String response = send(later, CRASHING_PATH);

        assertEquals(MAX_CRASHES, crashes.get());
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
    }

    /** Guards against crashing requests that reach targets through another region's host, which knows nothing of them. */
    @Test
    void shouldRejectAForwardedRequestWhenThreeTargetsCrashedUnderIt() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        crashingPath = TestPeer.URI;
        for (int i = 0; i < MAX_CRASHES; i++) {
            assertEquals(AttemptFailure.UNKNOWN.name(), forward(gateway, "f" + i));
        }

        assertEquals(AttemptFailure.QUARANTINED.name(), forward(gateway, "f" + MAX_CRASHES));
        assertEquals(MAX_CRASHES, crashes.get());
    }

    /** Guards against innocent requests that are refused as a region that rejects a quarantined one counts as full. */
    @Test
    void shouldForwardOtherRequestsWhenARegionRejectsAQuarantinedOne() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        try (TestPeer peer = gateway.peer()) {
            peer.reportRegionLoad("desk");
            peer.reportIdle(false);
            gateway.awaitLogged("\"event\":\"peer_connected\"");
            TestCaller rejected = gateway.caller().send(request(CRASHING_PATH));
            PeerFrame.CallRequest call = peer.await(PeerFrame.CallRequest.class);
            peer.sendFailure(call.call(), AttemptFailure.QUARANTINED);
            String response = rejected.readUntil("\r\n\r\n");

            gateway.caller().send(request("/a/other"));

            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertEquals("/a/other", peer.await(PeerFrame.CallRequest.class).uri());
        }
    }

    /** Guards against a request that is sent often, and is refused because it is in flight at the crashes of another. */
    @Test
    void shouldNotQuarantineARequestThatTargetsCompleteWhenTargetsCrashUnderIt() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        send(gateway, "/a/often");
        crashingPath = "/a/often";
        while (crashes.get() < TARGETS) {
            send(gateway, "/a/often");
        }

        assertEquals(0, gateway.countLogged("\"event\":\"quarantined\""));
        assertEquals(0, gateway.metric("requests_quarantined"));
    }

    /** Guards against a crashing request that is cleared by a failing target, which answered before it ran the request. */
    @Test
    void shouldQuarantineARequestWhenATargetAnsweredItWithAnErrorInBetween() throws Exception {
        TestGateway gateway = gateway("h1", "suva").configure(RouteKind.UNSAFE, false, 1);
        addTargets(gateway, "t", 2 * MAX_CRASHES);
        send(gateway, CRASHING_PATH);
        send(gateway, CRASHING_PATH);
        crashingPath = "";
        answerStatus = 500;
        String failure = send(gateway, CRASHING_PATH);
        crashingPath = CRASHING_PATH;

        for (int i = 0; i < MAX_CRASHES; i++) {
            send(gateway, CRASHING_PATH);
        }

        assertTrue(failure.startsWith("HTTP/1.1 500 "), failure);
        assertEquals(MAX_CRASHES, crashes.get());
    }

    /** Guards against an answer of a target that is withheld, as if the request could still be retried elsewhere. */
    @Test
    void shouldForwardAFailureWhenTwoTargetsCrashedUnderTheRequest() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        send(gateway, CRASHING_PATH);
        crashingPath = "";
        answerStatus = 500;

        String failure = send(gateway, CRASHING_PATH);

        assertTrue(failure.startsWith("HTTP/1.1 500 "), failure);
    }

    /** Guards against an attempt that is given up as its target is silent, though the request may not be retried. */
    @Test
    void shouldAwaitASilentTargetWhenTwoTargetsCrashedUnderTheRequest() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        send(gateway, CRASHING_PATH);
        crashingPath = "";
        answerDelayMillis = LONG_SILENCE_MILLIS;

        String response = send(gateway, CRASHING_PATH);

        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
    }

    /** Guards against innocent requests that are refused as their connections end while their targets live. */
    @Test
    void shouldNotSuspectARequestWhenOnlyItsConnectionsEnd() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        try (TestTarget target = new TestTarget((request, out) -> {
            throw new IOException("connection closed by the test");
        })) {
            gateway.registerTarget(new TargetIncarnation("t", 0), target.port());
            gateway.awaitTargets(1);

            for (int i = 0; i < RETRIES; i++) {
                send(gateway, CRASHING_PATH);
            }

            assertEquals(0, gateway.countLogged("\"event\":\"target_crashed\""));
        }
    }

    /** Guards against a crash that is missed, as the target accepts connections for a moment after the first has ended. */
    @Test
    void shouldRecordACrashWhenTheTargetRefusesConnectionsALittleLater() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        TestTarget target = new TestTarget((request, out) -> {
            throw new IOException("connection closed by the test");
        });
        resources.add(target);
        gateway.registerTarget(new TargetIncarnation("t", 0), target.port());
        gateway.awaitTargets(1);
        send(gateway, CRASHING_PATH);

        target.crash();

        gateway.awaitLogged("\"event\":\"target_crashed\"");
    }

    /** Guards against a quarantine that nobody can end before it lapses. */
    @Test
    void shouldSendARequestAgainWhenAnOperatorLiftsItsQuarantine() throws Exception {
        TestGateway gateway = gatewayWithQuarantine();
        crashingPath = "";
        String listed = gateway.admin("GET", "/quarantine");
        String fingerprint = listed.replaceAll("(?s).*\"fingerprint\":\"([0-9a-f]{32})\".*", "$1");
        assertTrue(listed.contains("\"target\":\"t"), listed);

        String unknown = gateway.admin("DELETE", "/quarantine/" + "0".repeat(32));
        String lifted = gateway.admin("DELETE", "/quarantine/" + fingerprint);

        assertTrue(unknown.startsWith("HTTP/1.1 404 "), unknown);
        assertTrue(lifted.startsWith("HTTP/1.1 200 "), lifted);
        assertTrue(send(gateway, CRASHING_PATH).startsWith("HTTP/1.1 200 "));
    }

    private TestGateway gatewayWithQuarantine() throws IOException {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        sendOften(gateway);
        return gateway;
    }

    /** Guards against hosts that have all restarted, and let a quarantined request crash targets once more. */
    @Test
    void shouldRejectAQuarantineEntryWhenAllHostsHaveRestarted() throws Exception {
        ClusterEvent.QuarantineChanged stored = gatewayWithQuarantine().awaitStoredQuarantine();
        TestGateway restarted = gateway("h2", "suva");
        restarted.putQuarantine(stored);
        addTargets(restarted, "u", TARGETS);

        String response = send(restarted, CRASHING_PATH);

        assertEquals(MAX_CRASHES, crashes.get());
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
    }

    /** Guards against a quarantine that is forgotten by a restart of all hosts, as the store was down when it began. */
    @Test
    void shouldRecordAQuarantineWhenTheStoreReturns() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        gateway.makeStoreUnavailable();
        sendOften(gateway);
        gateway.awaitLogged("\"event\":\"quarantine_not_recorded\"");

        gateway.makeStoreAvailable();

        assertEquals(MAX_CRASHES, gateway.awaitStoredQuarantine().evidence().size());
    }

    /** Guards against a quarantine that comes back with a restart after an operator has lifted it. */
    @Test
    void shouldSendARequestWhenItsQuarantineWasLiftedBeforeAllHostsRestarted() throws Exception {
        TestGateway gateway = gatewayWithQuarantine();
        ClusterEvent.QuarantineChanged stored = gateway.awaitStoredQuarantine();
        gateway.admin("DELETE", "/quarantine/" + stored.fingerprint().text());
        while (gateway.awaitStoredQuarantine().equals(stored)) {
            Thread.onSpinWait();
        }
        crashingPath = "";
        TestGateway restarted = gateway("h2", "suva");
        restarted.putQuarantine(gateway.awaitStoredQuarantine());
        addTargets(restarted, "u", TARGETS);

        assertTrue(send(restarted, CRASHING_PATH).startsWith("HTTP/1.1 200 "));
    }

    /** Forwards a request as another region's host does, and returns how it failed. */
    private String forward(TestGateway gateway, String requestId) throws IOException {
        try (TestPeer peer = gateway.peer()) {
            peer.sendRequest(requestId, 20_000, peer.await(PeerFrame.State.class));
            return peer.await(PeerFrame.CallFailed.class).failure();
        }
    }
}
