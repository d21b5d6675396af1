import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica: registers itself, keeps its entry up to date, and runs requests one by one on a connection. */
final class Replica {
    /** What a replica does with a request that is addressed to it. */
    interface Behaviour {
        /** Answers the request on the stream; returns whether the connection stays open. */
        boolean run(Replica replica, Http request, Socket socket, OutputStream out) throws IOException;
    }

    final Lab lab;
    final String id;
    final String service;
    final String zone;
    final long born = System.currentTimeMillis();
    final AtomicInteger runs = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean registered = true;
    volatile int slots = 8;
    volatile Behaviour behaviour = Replica::answer;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long sequence;

    Replica(Lab lab, String id, String service, String zone) throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.zone = zone;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(() -> {
            while (true) {
                if (registered) {
                    register();
                }
                Lab.sleep(1_200);
            }
        });
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void register() {
        ObjectNode entry = Store.JSON.createObjectNode()
                .put("backend", service)
                .put("address", "127.0.0.1:" + port())
                .put("zone", zone)
                .put("version", "v1")
                .put("slots", slots)
                .put("state", state)
                .put("cold_remaining_ms", 0)
                .put("born", born)
                .put("sequence", ++sequence);
        lab.store.put("servers/" + id, entry);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                if (!request.complete) {
                    lab.log("replica " + id + ": a request ended early: " + request.startLine);
                    return;
                }
                if (!request.header("X-Rattanplank-Expect-Replica").isEmpty()
                        && !request.header("X-Rattanplank-Expect-Replica").equals(id)) {
                    write(out, 421, request, "X-Rattanplank-Not-Executed: 1\r\n", "");
                    continue;
                }
                if (!behaviour.run(this, request, socket, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The gateway has closed its connection.
        } finally {
            open.remove(socket);
        }
    }

    /** Runs the request and answers it. */
    boolean answer(Http request, Socket socket, OutputStream out) throws IOException {
        String stamp = started(request);
        write(out, 200, request, "X-Rattanplank-Replica-Stamp: " + stamp + "\r\n", "by " + id + " for " + requestId(request));
        return true;
    }

    /** Records that the replica begins to run a request, and returns the stamp of the run. */
    String started(Http request) {
        String stamp = id + "/" + runs.incrementAndGet();
        lab.log("replica " + id + " runs " + requestId(request) + ": " + request.startLine + " (" + request.body.length
                + " bytes) as " + stamp);
        return stamp;
    }

    static String requestId(Http request) {
        return request.header("X-Rattanplank-Request-Id");
    }

    static void write(OutputStream out, int status, Http request, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\nX-Rattanplank-Request-Id: " + requestId(request) + "\r\n" + headers
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Ends as a killed process does: its port is closed, and then all its connections. */
    void crash() throws IOException {
        stop();
        for (Socket each : open) {
            each.close();
        }
    }

    void stop() throws IOException {
        registered = false;
        server.close();
    }
}
