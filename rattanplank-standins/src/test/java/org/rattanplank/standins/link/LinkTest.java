package org.rattanplank.standins.link;

import io.netty.channel.socket.nio.NioSocketChannel;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.http.EventLoop;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

class LinkTest {
    /**
     * Guards against a failure with "Socket is closed" when a link resets its connections: a connection may close after
     * it was selected for the reset, and setting an option on a closed socket throws.
     */
    @Test
    void shouldSkipConnectionWhenItClosedBeforeReset() {
        try (EventLoop loop = EventLoop.of()) {
            NioSocketChannel channel = new NioSocketChannel();
            loop.group().register(channel).syncUninterruptibly();
            channel.close().syncUninterruptibly();

            assertDoesNotThrow(() -> Link.reset(channel));
        }
    }
}
