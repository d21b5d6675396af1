package org.rattanplank.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Option;

/** A server that answers by a script, and its client. Thread safe. */
final class ScriptedServer implements AutoCloseable {
    private static final long POLL_INTERVAL_NANOS = 100_000;

    /** So small that the rest of an upload stays with its sender. */
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final ServerSocket listening = new ServerSocket();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private final EventLoopGroup group;
    private final Script script;
    private final HttpClient client;
    private volatile Socket newest;

    ScriptedServer(EventLoopGroup group, Script script) throws IOException {
        this.group = group;
        this.script = script;
        listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        client = new HttpClient(group, (InetSocketAddress) listening.getLocalSocketAddress());
        start(this::accept);
    }

    HttpClient client() {
        return client;
    }

    int connections() {
        return connections.get();
    }

    int requests() {
        return requests.get();
    }

    /** Returns the server's end of the newest connection. */
    Socket newest() {
        return newest;
    }

    /** Sends a request and waits for its response. */
    Option<HttpClientResponse> send(HttpClientRequest request) throws Exception {
        CompletableFuture<Option<HttpClientResponse>> response = new CompletableFuture<>();
        group.next().execute(() -> client.send(request, response::complete));
        return response.get();
    }

    /** Waits until the client has received that many bytes. */
    void awaitReceived(long bytes) {
        while (client.traffic().receivedBytes() < bytes) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }

    private void accept() throws IOException {
        while (!listening.isClosed()) {
            Socket socket = listening.accept();
            connections.incrementAndGet();
            newest = socket;
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            while (readHead(socket.getInputStream())) {
                script.answer(requests.incrementAndGet(), socket);
            }
        }
    }

    private static boolean readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int each = in.read(); each >= 0; each = in.read()) {
            head.append((char) each);
            if (head.toString().endsWith("\r\n\r\n")) {
                return true;
            }
        }
        return false;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The client or the test closed the connection.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers the requests to a server; an exception closes the connection. */
    interface Script {
        /**
         * Answers a request of which the head has been read.
         *
         * @param number the number of the request, from 1
         * @param socket its connection
         */
        void answer(int number, Socket socket) throws IOException;
    }

    private interface Work {
        void run() throws IOException;
    }
}
