package org.rattanplank.standins.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.netty.channel.socket.nio.NioSocketChannel;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class LinkTest {
    private static final long DELAY_MILLIS = 400;

    /** Guards against bytes that overtake earlier ones of their connection when a delay ends, which TCP never does. */
    @Test
    void shouldKeepTheOrderOfBytesWhenADelayEnds() throws Exception {
        try (EventLoop loop = EventLoop.of();
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Link link = Link.open(loop, (InetSocketAddress) server.getLocalSocketAddress());
            InetSocketAddress address = Addresses.parse(link.address());
            try (Socket client = new Socket(address.getAddress(), address.getPort());
                    Socket accepted = server.accept()) {
                link.state(LinkState.delayed(DELAY_MILLIS));
                client.getOutputStream().write("delayed ".getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(DELAY_MILLIS / 2);
                link.state(LinkState.up());
                client.getOutputStream().write("immediate".getBytes(StandardCharsets.US_ASCII));

                byte[] received = accepted.getInputStream().readNBytes("delayed immediate".length());

                assertEquals("delayed immediate", new String(received, StandardCharsets.US_ASCII));
            }
        }
    }

    /** Guards against a truncated answer that looks whole, as the link turned a reset into an orderly end. */
    @Test
    void shouldResetAConnectionWhenItsOtherSideIsReset() throws Exception {
        try (EventLoop loop = EventLoop.of();
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address =
                    Addresses.parse(Link.open(loop, (InetSocketAddress) server.getLocalSocketAddress())
                            .address());
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                Socket accepted = server.accept();
                client.getOutputStream().write('x');
                accepted.getInputStream().read();
                accepted.setSoLinger(true, 0);
                accepted.close();

                assertThrows(IOException.class, () -> client.getInputStream().read());
            }
        }
    }

    /** Guards against a truncated answer that looks whole, as the link ended it before the bytes that it delays. */
    @Test
    void shouldEndAConnectionAfterItsDelayedBytesWhenItsOtherSideEnds() throws Exception {
        try (EventLoop loop = EventLoop.of();
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Link link = Link.open(loop, (InetSocketAddress) server.getLocalSocketAddress());
            InetSocketAddress address = Addresses.parse(link.address());
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                Socket accepted = server.accept();
                link.state(LinkState.delayed(DELAY_MILLIS));
                accepted.getOutputStream().write("delayed".getBytes(StandardCharsets.US_ASCII));
                accepted.close();

                byte[] received = client.getInputStream().readAllBytes();

                assertEquals("delayed", new String(received, StandardCharsets.US_ASCII));
            }
        }
    }

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
