package org.rattanplank.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoopGroup;
import io.netty.channel.EventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.gateway.log.EventLog;

import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class EventLoopMonitorTest {
    private final DefaultEventLoopGroup group = new DefaultEventLoopGroup(1);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private volatile boolean held = true;

    private void holdLoop() {
        while (held) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a held event loop that tells nothing about what holds it until its turn ends. */
    @Test
    void shouldLogWhatHoldsTheEventLoopWhenItsTurnHasNotEnded() throws Exception {
        EventLoop loop = group.next();
        try (EventLog log = EventLog.start("h1", out, () -> 5)) {
            EventLoopMonitor monitor = EventLoopMonitor.of(loop, MonotonicClock.ofProcess(), log);
            monitor.start();
            loop.execute(this::holdLoop);
            while (!out.toString(StandardCharsets.UTF_8).contains("loop_stalled")) {
                TimeUnit.MILLISECONDS.sleep(20);
            }

            String line = out.toString(StandardCharsets.UTF_8);
            assertTrue(line.contains("EventLoopMonitorTest.holdLoop"), line);
            assertTrue(monitor.stalls() > 0);
        } finally {
            held = false;
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
