package org.rattanplank.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.account.Allowance;
import org.rattanplank.core.account.GatewayAccount;
import org.rattanplank.core.account.KeyDigest;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.gateway.peer.PeerFrame;
import org.rattanplank.gateway.peer.TestPeer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that requests need the key of a client account, and that targets receive its name and never the key. */
@Timeout(60)
class AccountFlowTest {
    private static final String KEY = "secret1";
    private static final String OTHER_KEY = "secret2";

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

    private static GatewayAccount account(String name, Set<String> homeRegions, String... keys) {
        Set<KeyDigest> digests = Stream.of(keys).map(KeyDigest::of).collect(Collectors.toSet());
        return new GatewayAccount(name, digests, 1, Allowance.UNLIMITED, homeRegions);
    }

    private TestGateway configure(RouteKind kind, GatewayAccount... accounts) throws IOException {
        return gateway.withAccounts(accounts).configure(kind, false, 1);
    }

    private static String request(String path, String headers) {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q1\r\nTime-Left: 5000\r\n" + headers
                + "Content-Length: 4\r\n\r\nseal";
    }

    private String send(String path, String headers) throws IOException {
        return gateway.caller().send(request(path, headers)).readUntil("\r\n\r\n");
    }

    /** Guards against a caller that names another client account, and against a key that reaches a target. */
    @Test
    void shouldSendTheAccountInsteadOfTheKeyWhenACallerSendsBoth() throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of(), KEY)).target("t1", target.port());

        String answer = send("/a/x", "Key: " + KEY + "\r\nAccount: others\r\nACCOUNT: more\r\n");
        String request = target.nextRequest();

        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertEquals("brewers", TestTarget.header(request, "account"));
        assertFalse(request.contains("others") || request.contains("more"), request);
        assertFalse(request.contains(KEY), request);
        assertEquals(0, gateway.countLogged(KEY));
    }

    /** Guards against requests that run without a valid key, and against failures of the gateway for malformed ones. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "Key: unknown\r\n",
                "Key: \r\n",
                "Key: secret1 secret1\r\n",
                "Key: secret1\r\nKey: secret2\r\n",
                "Key: secret1\r\nkey: secret1\r\n",
                "Key: s\u00e9cret1\r\n",
                "Account: brewers\r\n"
            })
    void shouldAnswerUnauthorizedWhenARequestHasNoValidKey(String headers) throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of(), KEY, OTHER_KEY))
                .target("t1", target.port());

        String answer = send("/a/x", headers);

        assertTrue(answer.startsWith("HTTP/1.1 401"), answer);
        assertEquals(0, target.unreadRequests());
        assertEquals(0, gateway.countLogged(KEY));
    }

    @Test
    void shouldAnswerUnauthorizedWhenAKeyIsVeryLong() throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of(), KEY)).target("t1", target.port());

        String answer = send("/a/x", "Key: " + "k".repeat(2_000) + "\r\n");

        assertTrue(answer.startsWith("HTTP/1.1 401"), answer);
    }

    @Test
    void shouldNeedNoKeyWhenTheRouteIsPublic() throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of(), KEY)).target("t1", target.port());

        assertTrue(send("/public/x", "Account: brewers\r\n").startsWith("HTTP/1.1 200"));
        assertEquals("", TestTarget.header(target.nextRequest(), "account"));
        assertTrue(send("/public/x", "Key: unknown\r\n").startsWith("HTTP/1.1 200"));
        assertEquals("", TestTarget.header(target.nextRequest(), "account"));
        assertTrue(send("/public/x", "Key: " + KEY + "\r\n").startsWith("HTTP/1.1 200"));
        assertEquals("brewers", TestTarget.header(target.nextRequest(), "account"));
    }

    /** Guards against a header of a caller that reaches a target where no client accounts are configured. */
    @Test
    void shouldForwardNeitherKeyNorAccountWhenNoAccountsAreConfigured() throws Exception {
        gateway.configure(RouteKind.UNSAFE, false, 1).target("t1", target.port());

        assertTrue(send("/a/x", "Key: " + KEY + "\r\nAccount: brewers\r\n").startsWith("HTTP/1.1 200"));

        String request = target.nextRequest();
        assertEquals("", TestTarget.header(request, "account"));
        assertFalse(request.contains(KEY), request);
    }

    /** Guards against keys that are still in force after they were removed, moved to another account, or all taken. */
    @Test
    void shouldFollowTheNewestConfigurationWhenKeysAreMovedAndRemoved() throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of(), KEY), account("fitters", Set.of(), OTHER_KEY))
                .target("t1", target.port());
        assertTrue(send("/a/x", "Key: " + KEY + "\r\n").startsWith("HTTP/1.1 200"));
        assertEquals("brewers", TestTarget.header(target.nextRequest(), "account"));

        configure(RouteKind.UNSAFE, account("brewers", Set.of()), account("fitters", Set.of(), KEY));
        assertTrue(send("/a/x", "Key: " + KEY + "\r\n").startsWith("HTTP/1.1 200"));
        assertEquals("fitters", TestTarget.header(target.nextRequest(), "account"));
        assertTrue(send("/a/x", "Key: " + OTHER_KEY + "\r\n").startsWith("HTTP/1.1 401"));

        configure(RouteKind.UNSAFE);
        assertTrue(send("/a/x", "Key: " + KEY + "\r\n").startsWith("HTTP/1.1 401"));
    }

    /** Guards against an account's name that is lost when a stream is resumed at another target. */
    @Test
    void shouldSendTheAccountAgainWhenAStreamIsResumed() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (TestTarget breaking = new TestTarget((request, out) -> {
            TestTarget.write(out, TestTarget.streamHead(request) + TestTarget.chunk("id: 1\ndata: a\n\n"));
            if (requests.getAndIncrement() == 0) {
                throw new IOException("connection closed by the test");
            }
            TestTarget.write(out, TestTarget.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
        })) {
            gateway.withAccounts(account("brewers", Set.of(), KEY))
                    .configure(RouteKind.STREAM, true, 3)
                    .target("t1", breaking.port())
                    .target("t2", breaking.port());

            gateway.caller().send(request("/a/x", "Key: " + KEY + "\r\n")).readUntil("data: b");

            for (int i = 0; i < 2; i++) {
                String request = breaking.nextRequest();
                assertEquals("brewers", TestTarget.header(request, "account"));
                assertFalse(request.contains(KEY), request);
            }
        }
    }

    /** Guards against a key that is sent to another host, and an account's name that isn't. */
    @Test
    void shouldForwardTheAccountInsteadOfTheKeyWhenAnotherRegionServesTheRequest() throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of(), KEY));
        try (TestPeer peer = gateway.peer()) {
            peer.reportRegionLoad("desk");
            gateway.awaitLogged("\"event\":\"peer_connected\"");
            gateway.caller().send(request("/a/x", "Key: " + KEY + "\r\nAccount: others\r\n"));

            List<String> headers = peer.await(PeerFrame.CallRequest.class).headers();

            assertEquals("brewers", headers.get(headers.indexOf("Account") + 1));
            assertFalse(headers.contains("others"));
            assertFalse(headers.contains(KEY));
        }
    }

    /** Guards against data of a client account that leaves its home regions, and against requests that wait in vain. */
    @Test
    void shouldNotForwardWhenTheOtherRegionIsNoHomeOfTheAccount() throws Exception {
        configure(RouteKind.UNSAFE, account("brewers", Set.of("lautoka"), KEY), account("fitters", Set.of(), OTHER_KEY))
                .target("t1", target.port());
        try (TestPeer peer = gateway.peer()) {
            peer.drainInBackground();
            peer.reportRegionLoad("desk");
            gateway.awaitLogged("\"event\":\"peer_connected\"");

            String answer = send("/a/x", "Key: " + KEY + "\r\n");

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertEquals(0, target.unreadRequests());
            assertEquals(0, gateway.countLogged("\"event\":\"forwarded\""));
        }
    }
}
