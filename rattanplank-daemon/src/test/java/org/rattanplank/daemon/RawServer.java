package org.rattanplank.daemon;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TCP server that runs a script for each connection, for example to close early, stay unresponsive or send an invalid
 * response. The last script handles all further connections. A connection that ends without a byte takes no script.
 */
public final class RawServer implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_SECONDS = 20;

    private final ServerSocket server;
    private final List<Script> scripts;
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final AtomicInteger scriptsTaken = new AtomicInteger();

    private RawServer(List<Script> scripts) throws IOException {
        this.scripts = scripts;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    public static RawServer of(Script... scripts) throws IOException {
        return new RawServer(List.of(scripts));
    }

    /**
     * Returns a port on which no process listens.
     *
     * @return the port
     */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    public int port() {
        return server.getLocalPort();
    }

    /**
     * Waits for the next request.
     *
     * @return its headers and body as received
     */
    public String nextRequest() throws InterruptedException {
        String request = requests.poll(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request received within " + REQUEST_TIMEOUT_SECONDS + " s");
        }
        return request;
    }

    /**
     * Stops listening and waits until connections are refused, as when a process has ended: the kernel accepts
     * connections until the thread that waits for them has noticed the close.
     */
    public void crash() throws IOException {
        server.close();
        while (acceptsConnections()) {
            Thread.onSpinWait();
        }
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket(server.getInetAddress(), server.getLocalPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        try {
            while (true) {
                Connection connection = new Connection(server.accept(), requests);
                start(() -> serve(connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void serve(Connection connection) {
        try (connection) {
            if (connection.hasBytes()) {
                scripts.get(Math.min(scriptsTaken.getAndIncrement(), scripts.size() - 1))
                        .serve(connection);
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Script that handles one connection. */
    @FunctionalInterface
    public interface Script {
        void serve(Connection connection) throws IOException, InterruptedException;
    }

    /** One accepted connection. */
    public static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        private final BlockingQueue<String> requests;

        Connection(Socket socket, BlockingQueue<String> requests) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            this.requests = requests;
        }

        /** Waits for the first byte and returns whether there is one. */
        private boolean hasBytes() throws IOException {
            in.mark(1);
            boolean hasBytes = in.read() >= 0;
            in.reset();
            return hasBytes;
        }

        /**
         * Reads one request.
         *
         * @return its headers and body
         */
        public String request() throws IOException {
            ByteArrayOutputStream bytes = readHead();
            String headers = bytes.toString(StandardCharsets.UTF_8);
            int length = headers.toLowerCase(java.util.Locale.ROOT).contains("content-length: ")
                    ? Integer.parseInt(header(headers, "content-length"))
                    : 0;
            while (bytes.size() < headers.indexOf("\r\n\r\n") + 4 + length) {
                readInto(bytes);
            }
            String request = bytes.toString(StandardCharsets.UTF_8);
            requests.add(request);
            return request;
        }

        /**
         * Reads the head of a request, and of its body no more than a buffer holds.
         *
         * @return the head
         */
        public String head() throws IOException {
            return readHead().toString(StandardCharsets.UTF_8);
        }

        /** Resets the connection, as a close does without lingering. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        public Connection write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return this;
        }

        public void writeFrame(byte[] frame) throws IOException {
            socket.getOutputStream()
                    .write(java.nio.ByteBuffer.allocate(4 + frame.length)
                            .putInt(frame.length)
                            .put(frame)
                            .array());
            socket.getOutputStream().flush();
        }

        /** Waits until the client closes the connection. */
        public void awaitClose() throws IOException {
            while (in.read() >= 0) {
                continue;
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                return;
            }
        }

        private ByteArrayOutputStream readHead() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (!bytes.toString(StandardCharsets.UTF_8).contains("\r\n\r\n")) {
                readInto(bytes);
            }
            return bytes;
        }

        private void readInto(ByteArrayOutputStream bytes) throws IOException {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            bytes.write(next);
        }
    }

    /**
     * Returns the value of a header by its case-insensitive name.
     *
     * @param headers the request line or status line with all headers
     * @param name the header's name
     * @return its value, or empty
     */
    public static String header(String headers, String name) {
        for (String line : headers.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }
}
