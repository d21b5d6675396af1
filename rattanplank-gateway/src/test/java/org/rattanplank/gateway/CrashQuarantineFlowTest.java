package org.rattanplank.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests that crash each target that runs them. */
@Timeout(60)
class CrashQuarantineFlowTest {
    /** The maximum number of targets that one request may crash before it is quarantined. */
    private static final int MAX_CRASHES = 3;

    private static final int TARGETS = 4;
    private static final String CRASHING_PATH = "/a/crash";
    private static final int RETRIES = 4;

    private final AtomicInteger crashes = new AtomicInteger();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private int requests;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    private TestGateway gateway(String name, String region) throws IOException {
        TestGateway gateway = new TestGateway(name, region);
        resources.add(gateway);
        return gateway.configure(RouteKind.SAFE, false, 2);
    }

    /** Adds targets that crash when they receive the crashing path: all connections end, and new ones are refused. */
    private void addTargets(TestGateway gateway, String prefix, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            TestTarget[] self = new TestTarget[1];
            self[0] = new TestTarget((request, out) -> {
                if (request.startsWith("POST " + CRASHING_PATH + " ")) {
                    crashes.incrementAndGet();
                    self[0].close();
                    throw new IOException("crashed by the test");
                }
                TestTarget.write(out, TestTarget.answer(request, 200, "done"));
            });
            resources.add(self[0]);
            gateway.registerTarget(new TargetIncarnation(prefix + i, 0), self[0].port());
        }
        gateway.awaitTargets(count);
    }

    /** Sends a request under a new identifier and returns the head of its response. */
    private String send(TestGateway gateway, String path) throws IOException {
        requests++;
        return gateway.caller()
                .send("POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q" + requests
                        + "\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx")
                .readUntil("\r\n\r\n");
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
    void shouldRejectAQuarantinedRequestWhenAHostConnectsLater() throws Exception {
        TestGateway one = gateway("h1", "suva");
        addTargets(one, "t", TARGETS);
        for (int i = 0; i < RETRIES; i++) {
            send(one, CRASHING_PATH);
        }
        TestGateway later = gateway("h2", "labasa");
        addTargets(later, "u", TARGETS);
        one.connect(later);
        later.awaitLogged("\"event\":\"quarantined\"");

        String response = send(later, CRASHING_PATH);

        assertEquals(MAX_CRASHES, crashes.get());
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
    }
}
