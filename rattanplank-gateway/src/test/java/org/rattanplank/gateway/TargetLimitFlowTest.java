package org.rattanplank.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests targets that name how many requests a second they take from all hosts together. */
@Timeout(60)
class TargetLimitFlowTest {
    private static final int REQUESTS = 60;

    /** The bound for a limit of one request a second in four seconds: one and a half times that, and five more. */
    private static final int MAX_ARRIVALS = 11;

    private final AtomicInteger arrivals = new AtomicInteger();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<TestGateway> gateways = new ArrayList<>();
    private final Map<TestGateway, TestCaller> callers = new HashMap<>();
    private volatile String limitHeaders = "Limit: 1\r\n";
    private int requests;

    @BeforeEach
    void startGateways() throws IOException {
        TestTarget limited = new TestTarget((request, out) -> {
            arrivals.incrementAndGet();
            TestTarget.write(
                    out,
                    TestTarget.answer(request, 200, "done").replace("Stamp: s\r\n", "Stamp: s\r\n" + limitHeaders));
        });
        TestTarget other = TestTarget.answering("done");
        resources.add(limited);
        resources.add(other);
        for (String name : List.of("h1", "h2")) {
            TestGateway gateway = new TestGateway(name, "suva");
            resources.add(gateway);
            gateways.add(gateway.configure(RouteKind.SAFE, false, 2));
            gateway.registerTarget(new TargetIncarnation("limited", 0), limited.port());
            gateway.registerTarget(new TargetIncarnation("other", 0), other.port());
            gateway.awaitTargets(2);
            callers.put(gateway, gateway.caller());
        }
        gateways.get(0).connect(gateways.get(1));
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    private void send(TestGateway gateway) throws IOException {
        requests++;
        String response = callers.get(gateway)
                .send("POST /a/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q" + requests
                        + "\r\nTime-Left: 8000\r\nContent-Length: 1\r\n\r\nx")
                .readUntil("\r\n\r\ndone");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
    }

    /** Sends requests through both hosts until each of them has had an answer of the limited target. */
    private void sendUntilBothAreTold() throws IOException {
        for (TestGateway gateway : gateways) {
            int before = arrivals.get();
            while (arrivals.get() == before) {
                send(gateway);
            }
        }
    }

    /** Guards against a target in need that gets all that the hosts would send to any other. */
    @Test
    void shouldKeepTheLimitOfATargetWhenTwoHostsSendToIt() throws IOException {
        sendUntilBothAreTold();
        arrivals.set(0);

        for (int i = 0; i < REQUESTS; i++) {
            send(gateways.get(i % 2));
        }

        assertTrue(arrivals.get() <= MAX_ARRIVALS, () -> "arrivals: " + arrivals.get());
    }

    /** Guards against a target that is passed over because it names a limit that is none. */
    @Test
    void shouldIgnoreALimitWhenItIsInvalid() throws IOException {
        for (String invalid : List.of("", "-1", "NaN", "Infinity", "1e300", "two", "1\r\nLimit: 2")) {
            limitHeaders = "Limit: " + invalid + "\r\n";
            sendUntilBothAreTold();
            arrivals.set(0);

            for (int i = 0; i < REQUESTS; i++) {
                send(gateways.get(i % 2));
            }

            assertTrue(arrivals.get() > MAX_ARRIVALS, () -> "arrivals: " + arrivals.get() + " at " + invalid);
        }
        assertEquals(0, gateways.get(0).countLogged("\"outcome\":\"refused\""));
    }

    /** Guards against a target that nobody sends to any more although its need has ended. */
    @Test
    void shouldSendAsBeforeWhenTheTargetNamesNoLimitAnyMore() throws IOException {
        sendUntilBothAreTold();
        limitHeaders = "";
        arrivals.set(0);

        while (arrivals.get() <= MAX_ARRIVALS) {
            send(gateways.get(requests % 2));
        }
    }
}
