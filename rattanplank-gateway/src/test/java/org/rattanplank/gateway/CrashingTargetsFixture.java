package org.rattanplank.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.rattanplank.core.gateway.RouteKind;
import org.rattanplank.core.gateway.TargetIncarnation;

/** Gateways whose targets crash on some requests: all connections end, and new ones are refused. */
abstract class CrashingTargetsFixture {
    final AtomicInteger crashes = new AtomicInteger();
    final List<AutoCloseable> resources = new ArrayList<>();

    /** Returns whether a target crashes when it receives a request. */
    abstract boolean isCrashing(String request);

    /** Answers a request that doesn't crash its target. */
    void answer(String request, OutputStream out) throws IOException {
        TestTarget.write(out, TestTarget.answer(request, 200, "done"));
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    TestGateway gateway(String name, String region) throws IOException {
        TestGateway gateway = new TestGateway(name, region);
        resources.add(gateway);
        return gateway.configure(RouteKind.SAFE, false, 2);
    }

    void addTargets(TestGateway gateway, String prefix, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            TestTarget[] self = new TestTarget[1];
            self[0] = new TestTarget((request, out) -> {
                if (isCrashing(request)) {
                    crashes.incrementAndGet();
                    self[0].crash();
                    throw new IOException("crashed by the test");
                }
                answer(request, out);
            });
            resources.add(self[0]);
            gateway.registerTarget(new TargetIncarnation(prefix + i, 0), self[0].port());
        }
        gateway.awaitTargets(count);
    }
}
