package org.rattanplank.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A target that answers each request by a script. */
final class TestTarget implements AutoCloseable {
    static final String EVENT_STREAM = "text/event-stream";

    private static final long TIMEOUT_SECONDS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 20;
    private static final String CONTENT_LENGTH = "content-length: ";

    /** So small that the rest of an upload stays with its sender. */
    private static final int UPLOAD_BUFFER_BYTES = 4_096;

    private final ServerSocket server = new ServerSocket();
    private final UploadScript script;
    private final boolean readsBodies;
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();

    TestTarget(Script script) throws IOException {
        this((request, socket) -> script.serve(request, socket.getOutputStream()), true);
    }

    private TestTarget(UploadScript script, boolean readsBodies) throws IOException {
        this.script = script;
        this.readsBodies = readsBodies;
        if (!readsBodies) {
            server.setReceiveBufferSize(UPLOAD_BUFFER_BYTES);
        }
        server.bind(new InetSocketAddress("127.0.0.1", 0), 50);
        start(this::accept);
    }

    /** Returns a target that reads the head of a request; its script reads as much of the body as it likes. */
    static TestTarget readingHeads(UploadScript script) throws IOException {
        return new TestTarget(script, false);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Waits for the next request and returns it as received. */
    String nextRequest() throws InterruptedException {
        String request = requests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request received");
        }
        return request;
    }

    /** Waits until a connection was closed by the other end. */
    void awaitClosed() throws InterruptedException {
        if (closedConnections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS) == null) {
            throw new AssertionError("no connection was closed");
        }
    }

    /**
     * Stops listening and waits until connections are refused, as when a process has ended: the kernel accepts
     * connections until the thread that waits for them has noticed the close.
     */
    void crash() throws IOException {
        server.close();
        while (acceptsConnections()) {
            Thread.onSpinWait();
        }
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket()) {
            socket.connect(server.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (SocketTimeoutException e) {
            // The queue of the port is full, and what is sent to it now is answered after a second only.
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    int unreadRequests() {
        return requests.size();
    }

    /** Returns a target that answers each request with the same body. */
    static TestTarget answering(String body) throws IOException {
        return new TestTarget((request, out) -> write(out, answer(request, 200, body)));
    }

    /** Writes raw text. */
    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns a complete response that echoes the identifier of its request. */
    static String answer(String request, int status, String body) {
        return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + header(request, "request-id") + "\r\nContent-Length: "
                + body.length() + "\r\nKeep-Alive: timeout=5\r\nStamp: s\r\n\r\n" + body;
    }

    /** Returns the headers of a stream that echoes the identifier of its request. */
    static String streamHead(String request) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + header(request, "request-id") + "\r\nContent-Type: " + EVENT_STREAM
                + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns the headers of an answer that ends with its connection. */
    static String closeDelimitedHead(String request, String contentType) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + header(request, "request-id") + "\r\nContent-Type: " + contentType
                + "\r\nConnection: close\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String header(String request, String name) {
        for (String line : request.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ": ")) {
                return line.substring(name.length() + 2);
            }
        }
        return "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        try (socket) {
            for (String request = read(in); !request.isEmpty(); request = read(in)) {
                requests.add(request);
                serve(request, socket);
            }
        } finally {
            closedConnections.add("closed");
        }
    }

    private void serve(String request, Socket socket) throws IOException {
        try {
            script.serve(request, socket);
        } catch (ResetException e) {
            // Without lingering, a close resets the connection.
            socket.setSoLinger(true, 0);
            throw e;
        }
    }

    private String read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int length = -1;
        for (int each = in.read(); each >= 0; each = in.read()) {
            bytes.write(each);
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            if (length < 0 && text.endsWith("\r\n\r\n")) {
                int at = text.toLowerCase(java.util.Locale.ROOT).indexOf(CONTENT_LENGTH);
                length = at < 0
                        ? 0
                        : Integer.parseInt(
                                text.substring(at + CONTENT_LENGTH.length()).split("\r\n")[0]);
                bytes.write(in.readNBytes(readsBodies ? length : 0));
                return bytes.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return "";
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The other end or the test closed the connection, which many tests do on purpose.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Resets the connection. */
    static final class ResetException extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** Answers a request; an exception closes the connection. */
    interface Script {
        void serve(String request, OutputStream out) throws IOException;
    }

    /** Answers a request of which at least the head has been read; an exception closes the connection. */
    interface UploadScript {
        void serve(String request, Socket socket) throws IOException;
    }

    private interface Work {
        void run() throws IOException;
    }
}
