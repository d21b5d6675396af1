package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.account.AccountUsage;
import org.rattanplank.core.account.Allowance;
import org.rattanplank.core.account.ChargeUnit;
import org.rattanplank.core.account.GatewayAccount;
import org.rattanplank.core.account.KeyDigest;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that requests over the allowance of their client account are rejected, and others are not. */
@Timeout(60)
class AllowanceFlowTest {
    private static final String KEY = "secret1";

    /** So slow that a test sees nothing of what is refilled. */
    private static final double UNITS_PER_SECOND = 0.001;

    private TestGateway gateway;
    private TestTarget target;

    @BeforeEach
    void startGateway() throws IOException {
        gateway = new TestGateway();
        target = TestTarget.answering("done");
    }

    @AfterEach
    void closeGateway() throws IOException {
        gateway.close();
        target.close();
    }

    private void configure(ChargeUnit unit) throws IOException {
        limit(unit).configure(RouteKind.UNSAFE, false, 1);
    }

    private TestGateway limit(ChargeUnit unit) {
        Allowance allowance = new Allowance(unit, 200, UNITS_PER_SECOND, 0);
        return gateway.withAccounts(new GatewayAccount("brewers", Set.of(KeyDigest.of(KEY)), 1, allowance, Set.of()));
    }

    private String send(String headers) throws IOException {
        return gateway.caller()
                .send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q1\r\nTime-Left: 5000\r\nKey: " + KEY
                        + "\r\n" + headers + "Content-Length: 4\r\n\r\nseal")
                .readUntil("\r\n\r\n");
    }

    /** Guards against a request over the allowance that reaches a target, and against a caller that isn't told when to come. */
    @Test
    void shouldAnswerTooManyRequestsWhenTheAllowanceIsUsedUp() throws Exception {
        configure(ChargeUnit.REQUESTS);
        gateway.target("t1", target.port());
        assertTrue(send("").startsWith("HTTP/1.1 200"));
        target.nextRequest();

        String answer = send("");

        assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
        assertEquals(0, target.unreadRequests());
        gateway.awaitLogged("\"event\":\"over_allowance\"");
        assertEquals(1, gateway.metric("requests_total{outcome=\"over_allowance\"}"));
        assertEquals(0, gateway.countLogged(KEY));
    }

    /** Guards against an allowance that is used up by requests which have not run. */
    @Test
    void shouldNotChargeWhatTargetsRejectWhenARequestHasNotRun() throws Exception {
        configure(ChargeUnit.TOKENS);
        try (TestTarget full = new TestTarget(
                (request, out) -> TestTarget.write(out, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))) {
            gateway.target("t1", full.port());

            for (int i = 0; i < 5; i++) {
                String answer = send("Tokens: 1000,50\r\n");
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            }
        }
        gateway.removeTarget("t1");
        gateway.awaitTargets(0);
        gateway.registerTarget(new TargetIncarnation("t2", 0), target.port());
        gateway.awaitTargets(1);

        assertTrue(send("Tokens: 1000,50\r\n").startsWith("HTTP/1.1 200"));
        assertTrue(send("Tokens: 1000,50\r\n").startsWith("HTTP/1.1 429"));
    }

    /** Guards against hosts of a region of which each lets the account use the whole allowance. */
    @Test
    void shouldCountTheUseOfOtherHostsWhenTheyReportIt() throws Exception {
        configure(ChargeUnit.TOKENS);
        gateway.target("t1", target.port());
        try (TestPeer peer = gateway.sameRegionPeer("n1")) {
            peer.reportUsage(List.of(new AccountUsage("brewers", 100, 0, 0, 0)));
            peer.reportUsage(List.of(new AccountUsage("brewers", 900, 0, 0, 0)));

            String answer = send("Tokens: 1000,50\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
        }
        assertEquals(0, target.unreadRequests());
    }

    /** Guards against a host that doesn't tell the others what it has used. */
    @Test
    void shouldReportWhatWasUsedWhenARequestWasSent() throws Exception {
        configure(ChargeUnit.TOKENS);
        gateway.target("t1", target.port());
        try (TestPeer peer = gateway.sameRegionPeer("n1")) {
            assertTrue(send("Tokens: 1000,50\r\n").startsWith("HTTP/1.1 200"));

            List<AccountUsage> reported = List.of();
            while (reported.isEmpty()) {
                reported = peer.await(PeerFrame.State.class).accountUsage();
            }

            assertEquals("brewers", reported.get(0).account());
            assertEquals(1_050, reported.get(0).usedUnits());
        }
    }

    /** Guards against use beyond an allowance by streams that run at a second target. */
    @Test
    void shouldChargeAStreamAgainWhenItContinuesAtItsBackup() throws Exception {
        limit(ChargeUnit.TOKENS).configureModelWithoutResumption();
        TestTarget.Script crashing = (request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk("id: 1\ndata: a\n\n"));
            if (TestTarget.header(request, "continue-from").isEmpty()) {
                throw new IOException("connection closed by the test");
            }
            TestTarget.write(out, "0\r\n\r\n");
        };
        try (TestTarget one = new TestTarget(crashing);
                TestTarget other = new TestTarget(crashing);
                TestPeer peer = gateway.sameRegionPeer("n1")) {
            gateway.target("t1", one.port()).target("t2", other.port());

            send("Tokens: 100,50\r\n");

            long used = 0;
            while (used < 300) {
                used = peer.await(PeerFrame.State.class).accountUsage().stream()
                        .mapToLong(AccountUsage::usedUnits)
                        .sum();
            }
            assertEquals(300, used);
        }
    }

    /** Guards against a host that is taken for lost though it has left, or the other way round. */
    @Test
    void shouldLogWhetherAHostLeftWhenItsLinkIsClosed() throws Exception {
        configure(ChargeUnit.TOKENS);
        try (TestPeer leaving = gateway.sameRegionPeer("n1")) {
            leaving.await(PeerFrame.State.class);
            leaving.sendLeaving(0);
        }
        gateway.awaitLogged("\"reason\":\"host left\"");
        try (TestPeer lost = gateway.sameRegionPeer("n2")) {
            lost.await(PeerFrame.State.class);
        }
        gateway.awaitLogged("\"reason\":\"connection closed\"");
    }
}
