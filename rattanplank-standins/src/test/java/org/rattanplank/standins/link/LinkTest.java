package org.rattanplank.standins.link;

import io.netty.channel.socket.nio.NioSocketChannel;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.http.EventLoop;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

class LinkTest {
    /**
     * Symptom: a cut of a link failed with "Socket is closed". Sequence: a connection closed between the moment at which
     * the cut listed it and the one at which it was reset. Cause: a closed socket takes no options.
     */
    @Test
    void shouldPassOverAConnectionWhenItClosedBeforeTheReset() {
        try (EventLoop loop = EventLoop.of()) {
            NioSocketChannel channel = new NioSocketChannel();
            loop.group().register(channel).syncUninterruptibly();
            channel.close().syncUninterruptibly();

            assertDoesNotThrow(() -> Link.reset(channel));
        }
    }
}
