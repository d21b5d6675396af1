package org.rattanplank.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * TCP server that runs a script for each connection, for example to close early, stay unresponsive or send an invalid
 * response. The last script handles all further connections.
 */
public final class RawServer implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_SECONDS = 20;

    private final ServerSocket server;
    private final List<Script> scripts;
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

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

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        try {
            for (int connectionNumber = 0; ; connectionNumber++) {
                Script script = scripts.get(Math.min(connectionNumber, scripts.size() - 1));
                Connection connection = new Connection(server.accept(), requests);
                start(() -> serve(script, connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    private static void serve(Script script, Connection connection) {
        try (connection) {
            script.serve(connection);
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
        private final BlockingQueue<String> requests;

        Connection(Socket socket, BlockingQueue<String> requests) {
            this.socket = socket;
            this.requests = requests;
        }

        /**
         * Reads one request.
         *
         * @return its headers and body
         */
        public String request() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (!bytes.toString(StandardCharsets.UTF_8).contains("\r\n\r\n")) {
                readInto(bytes);
            }
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
            while (socket.getInputStream().read() >= 0) {
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

        private void readInto(ByteArrayOutputStream bytes) throws IOException {
            int next = socket.getInputStream().read();
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
