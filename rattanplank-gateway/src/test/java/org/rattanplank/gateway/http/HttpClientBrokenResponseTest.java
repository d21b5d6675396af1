package org.rattanplank.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The store sends responses that break the syntax of HTTP, or that end with a reset. Guards against such a response
 * that counts as the store's answer, and against a sound one that is refused.
 */
@Timeout(60)
class HttpClientBrokenResponseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 20;
    private static final int REPETITIONS = 20;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** More than the sockets of a connection buffer. */
    private static final int UPLOAD_BYTES = 4 << 20;

    private static final String BODY = "{\"revision\":9}";
    private static final String LENGTH = "Content-Length: 14\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<AutoCloseable> resources = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Answers a request of which the head has been read; the connection is closed after it. */
    private interface Script {
        void answer(Socket socket) throws Exception;
    }

    private HttpClient client(Script script) throws IOException {
        ServerSocket server = new ServerSocket();
        resources.add(server);
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread thread = new Thread(() -> serve(server, script));
        thread.setDaemon(true);
        thread.start();
        return new HttpClient(group, (InetSocketAddress) server.getLocalSocketAddress());
    }

    private static void serve(ServerSocket server, Script script) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                script.answer(socket);
            } catch (Exception e) {
                // The client or the test closed the connection.
                continue;
            }
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int each = in.read();
            if (each < 0) {
                throw new IOException("closed within the head");
            }
            head.append((char) each);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private Option<HttpClientResponse> send(HttpClient client) throws Exception {
        return send(client, 0);
    }

    private Option<HttpClientResponse> send(HttpClient client, int bodyBytes) throws Exception {
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        HttpClientRequest request = new HttpClientRequest("PUT", "/key", new byte[bodyBytes], TIMEOUT_MILLIS);
        group.next().execute(() -> client.send(request, response::complete));
        return response.get();
    }

    /** Guards against a change that counts as made, or as refused, with a status that no answer has. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 OK", "0 OK", "99 OK", "600 OK", "999 OK", "0200 OK", "+200 OK", "2000 OK", "-200 OK", "20x OK"
            })
    void shouldReceiveNoResponseWhenItsStatusIsInvalid(String status) throws Exception {
        HttpClient client = client(socket -> write(socket, "HTTP/1.1 " + status + "\r\n" + LENGTH + "\r\n" + BODY));

        assertTrue(send(client).isEmpty());
    }

    /** Guards against a body that the store hasn't sent so, as the field that frames it has a broken name. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Store Era: 7\r\n" + LENGTH,
                "Store-Era : 7\r\n" + LENGTH,
                "Store-Era\t: 7\r\n" + LENGTH,
                "Store\u0001Era: 7\r\n" + LENGTH,
                "Store-Era 7\r\n" + LENGTH,
                " Content-Length: 3\r\n",
                "Store-Era: 7\r\n Content-Length: 3\r\n",
                "Content Length: 3\r\n",
                "Content-Length : 14\r\n"
            })
    void shouldReceiveNoResponseWhenAFieldNameIsNoToken(String fields) throws Exception {
        HttpClient client = client(socket -> write(socket, "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + BODY));

        assertTrue(send(client).isEmpty());
    }

    /** Guards against an answer that is believed though its trailers are broken. */
    @ParameterizedTest
    @ValueSource(strings = {"X Odd: 1", "X-Odd : 1", "X\u0001Odd: 1", "X-Odd 1"})
    void shouldReceiveNoResponseWhenAFieldNameOfItsTrailersIsNoToken(String trailer) throws Exception {
        HttpClient client = client(socket -> write(
                socket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + BODY + "\r\n0\r\n" + trailer
                        + "\r\n\r\n"));

        assertTrue(send(client).isEmpty());
    }

    /** Guards against an answer that is believed though a broken head came before it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n",
                "HTTP/1.1 000 X\r\n\r\n",
                "HTTP/1.1 0100 Continue\r\n\r\n"
            })
    void shouldReceiveNoResponseWhenAMalformedHeadPrecedesIt(String preceding) throws Exception {
        HttpClient client = client(socket -> write(socket, preceding + "HTTP/1.1 200 OK\r\n" + LENGTH + "\r\n" + BODY));

        assertTrue(send(client).isEmpty());
    }

    /** Guards against a part of a body without a length that counts as the whole, as its connection was reset. */
    @ParameterizedTest
    @ValueSource(ints = {0, UPLOAD_BYTES})
    void shouldReceiveNoResponseWhenABodyWithoutALengthIsReset(int uploadBytes) throws Exception {
        HttpClient client = client(socket -> {
            write(socket, "HTTP/1.1 200 OK\r\n\r\n" + BODY.substring(0, 5));
            Thread.sleep(PAUSE_MILLIS);
            socket.setSoLinger(true, 0);
        });

        for (int i = 0; i < REPETITIONS; i++) {
            assertTrue(send(client, uploadBytes).isEmpty());
        }
    }

    /** Guards against an answer that is refused as its head is unusual. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200\r\n" + LENGTH,
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\n" + LENGTH,
                "HTTP/1.1 200 OK\r\nX-Time: a : b\r\n" + LENGTH,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + LENGTH
            })
    void shouldReceiveTheResponseWhenItsHeadIsSoundButUnusual(String head) throws Exception {
        HttpClient client = client(socket -> write(socket, head + "\r\n" + BODY));

        HttpClientResponse response = send(client).get();

        assertEquals(200, response.status());
        assertEquals(BODY, new String(response.body(), StandardCharsets.ISO_8859_1));
    }
}
