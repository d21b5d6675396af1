package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;
import org.rattanplank.gateway.store.ClusterEvent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests that differ but share a prompt part which crashes each target that begins to answer them. */
@Timeout(60)
class PromptPartQuarantineFlowTest extends CrashingTargetsFixture {
    /** The maximum number of targets that one part may crash before requests with it are rejected. */
    private static final int MAX_CRASHES = 5;

    private static final int CRASHING_REQUESTS = 10;
    private static final int TARGETS = 2 * CRASHING_REQUESTS;
    private static final String CRASHING_PART = "bad";

    private volatile String crashingPart = CRASHING_PART;
    private int requests;

    @Override
    boolean isCrashing(String request) {
        return TestTarget.header(request, "parts").contains(crashingPart + ":");
    }

    /** Sends a request that no other is like, and returns the head of its response. */
    private String send(TestGateway gateway, String sharedParts) throws IOException {
        requests++;
        return gateway.caller()
                .send("POST /a/" + requests + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q" + requests
                        + "\r\nTokens: 100,10\r\nParts: " + sharedParts + ",own" + requests + ":30"
                        + "\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx")
                .readUntil("\r\n\r\n");
    }

    private String sendCrashing(TestGateway gateway) throws IOException {
        return send(gateway, "first:50," + CRASHING_PART + ":20");
    }

    private String sendSound(TestGateway gateway) throws IOException {
        return send(gateway, "first:50,good:20");
    }

    private TestGateway gatewayWithQuarantine() throws IOException {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            sendCrashing(gateway);
            sendSound(gateway);
        }
        return gateway;
    }

    /** Guards against requests that crash one target after the other, as they share nothing but a part of their prompts. */
    @Test
    void shouldRejectRequestsWithAPartWhenTargetsCrashedUnderIt() throws Exception {
        TestGateway gateway = gatewayWithQuarantine();

        String rejected = sendCrashing(gateway);

        assertTrue(crashes.get() <= MAX_CRASHES, () -> crashes + " targets crashed");
        assertTrue(rejected.startsWith("HTTP/1.1 503 "), rejected);
        assertFalse(rejected.toLowerCase(java.util.Locale.ROOT).contains("retry-after"), rejected);
        assertTrue(sendSound(gateway).startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a part that crashes targets through one host after the other, also of other regions. */
    @Test
    void shouldRejectRequestsWithAPartWhenTargetsCrashedUnderItAtSeveralHosts() throws Exception {
        TestGateway one = gateway("h1", "suva");
        TestGateway other = gateway("h2", "labasa");
        one.connect(other);
        addTargets(one, "t", TARGETS);
        addTargets(other, "u", TARGETS);

        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            sendCrashing(one);
            assertTrue(sendSound(one).startsWith("HTTP/1.1 200 "));
            sendCrashing(other);
            assertTrue(sendSound(other).startsWith("HTTP/1.1 200 "));
        }

        assertTrue(crashes.get() <= MAX_CRASHES, () -> crashes + " targets crashed");
    }

    /** Guards against the part that nearly all requests begin with being blamed for the one that crashes targets. */
    @Test
    void shouldServeRequestsWithTheOtherPartsWhenNoneWasServedInBetween() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            sendCrashing(gateway);
        }

        assertTrue(crashes.get() <= MAX_CRASHES, () -> crashes + " targets crashed");
        assertTrue(sendSound(gateway).startsWith("HTTP/1.1 200 "));
        assertTrue(send(gateway, "first:50").startsWith("HTTP/1.1 200 "));
    }

    /** Guards against a host that starts or is connected again and lets requests with a quarantined part through. */
    @Test
    void shouldRejectRequestsWithAQuarantinedPartWhenAHostConnectsLater() throws Exception {
        TestGateway one = gatewayWithQuarantine();
        TestGateway later = gateway("h2", "labasa");
        addTargets(later, "u", TARGETS);
        int before = crashes.get();
        one.connect(later);
        later.awaitLogged("\"event\":\"quarantined\"");

        String rejected = sendCrashing(later);

        assertEquals(before, crashes.get());
        assertTrue(rejected.startsWith("HTTP/1.1 503 "), rejected);
        assertTrue(sendSound(later).startsWith("HTTP/1.1 200 "));
    }

    /** Guards against hosts that have all restarted, and let a quarantined part crash targets once more. */
    @Test
    void shouldRejectRequestsWithAQuarantinedPartWhenAllHostsHaveRestarted() throws Exception {
        TestGateway gateway = gatewayWithQuarantine();
        gateway.awaitStoredQuarantine();
        TestGateway restarted = gateway("h2", "suva");
        for (ClusterEvent.QuarantineChanged stored : gateway.storedQuarantines()) {
            restarted.putQuarantine(stored);
        }
        addTargets(restarted, "u", TARGETS);
        int before = crashes.get();

        String rejected = sendCrashing(restarted);

        assertEquals(before, crashes.get());
        assertTrue(rejected.startsWith("HTTP/1.1 503 "), rejected);
    }

    /** Guards against a quarantine of a part that nobody can find or end before it lapses. */
    @Test
    void shouldServeRequestsAgainWhenAnOperatorLiftsTheQuarantineOfAPart() throws Exception {
        TestGateway gateway = gatewayWithQuarantine();
        crashingPart = "none";
        String listed = gateway.admin("GET", "/quarantine");
        String fingerprint = listed.replaceAll("(?s).*\"fingerprint\":\"([0-9a-f]{32})\".*", "$1");
        assertTrue(listed.contains("\"promptParts\":[\"" + CRASHING_PART + "\"]"), listed);

        String lifted = gateway.admin("DELETE", "/quarantine/" + fingerprint);

        assertTrue(lifted.startsWith("HTTP/1.1 200 "), lifted);
        assertTrue(sendCrashing(gateway).startsWith("HTTP/1.1 200 "));
    }

    /** Guards against hosts of an earlier version that close their links on a notice that they don't know. */
    @Test
    void shouldSendEvidenceOfPartsOnlyToHostsThatAcceptIt() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", 1);
        try (TestPeer earlier = gateway.peer("h8");
                TestPeer current = gateway.peer("h9")) {
            earlier.reportIdleWithCrashNotices(false);
            earlier.framesUntilEchoed();
            current.reportIdleWithCrashNotices(true);
            current.framesUntilEchoed();

            sendCrashing(gateway);
            current.await(PeerFrame.PromptPartCrashNotice.class);
            earlier.reportIdleWithCrashNotices(false);
            List<PeerFrame> frames = earlier.framesUntilEchoed();

            assertTrue(frames.stream().anyMatch(PeerFrame.CrashNotice.class::isInstance), frames::toString);
            assertFalse(frames.stream().anyMatch(PeerFrame.PromptPartCrashNotice.class::isInstance), frames::toString);
        }
    }

    /** Guards against a sound part that is refused, as targets crashed by themselves under requests with it. */
    @Test
    void shouldServeRequestsWithAPartWhenTargetsCrashedUnderOneOfThemOnly() throws Exception {
        TestGateway gateway = gateway("h1", "suva");
        addTargets(gateway, "t", TARGETS);
        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            sendCrashing(gateway);
            assertTrue(send(gateway, "first:50,rare:20").startsWith("HTTP/1.1 200 "));
        }

        String listed = gateway.admin("GET", "/quarantine");
        assertTrue(listed.contains("\"promptParts\":[\"" + CRASHING_PART + "\"]"), listed);
        assertFalse(listed.contains("first") || listed.contains("rare"), listed);
    }
}
