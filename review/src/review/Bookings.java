package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Sound clients that send a request at a fixed rate, over kept channels, and wait for its answer for their time budget. */
final class Bookings {
    /** The end of one request. */
    record Outcome(String id, long sentMillis, long endMillis, int status, String end) {
        long tookMillis() {
            return endMillis - sentMillis;
        }

        boolean isAnswered() {
            return status > 0;
        }
    }

    private record Connection(Socket socket, InputStream in) {}

    private final Kit kit;
    private final InetSocketAddress host;
    private final String kind;
    private final String method;
    private final String path;
    private final int budgetMillis;
    private final int bodyBytes;
    private final ConcurrentLinkedDeque<Connection> kept = new ConcurrentLinkedDeque<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    Bookings(Kit kit, InetSocketAddress host, String kind, String method, String path, int budgetMillis, int bodyBytes) {
        this.kit = kit;
        this.host = host;
        this.kind = kind;
        this.method = method;
        this.path = path;
        this.budgetMillis = budgetMillis;
        this.bodyBytes = bodyBytes;
    }

    /** Sends requests from now on until a time, without waiting for their ends. */
    void sendEvery(long periodMillis, long untilMillis) {
        Thread sender = new Thread(() -> {
            for (long next = kit.nowMillis(); next < untilMillis; next += periodMillis) {
                Kit.sleep(next - kit.nowMillis());
                sendOne();
            }
        });
        sender.setDaemon(true);
        sender.start();
        synchronized (threads) {
            threads.add(sender);
        }
    }

    void sendOne() {
        Thread thread = new Thread(this::run);
        thread.setDaemon(true);
        thread.start();
        synchronized (threads) {
            threads.add(thread);
        }
    }

    private void run() {
        String id = Kit.newId(kind);
        long sent = kit.nowMillis();
        Connection connection = kept.poll();
        String end = "";
        int status = 0;
        try {
            if (connection == null) {
                Socket socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(host, 1_000);
                connection = new Connection(socket, new BufferedInputStream(socket.getInputStream()));
            }
            connection.socket().getOutputStream().write(Kit.request(method, path, id, budgetMillis, bodyBytes));
            connection.socket().setSoTimeout((int) Math.max(1, budgetMillis - (kit.nowMillis() - sent)));
            Kit.Message answer = Kit.Message.read(connection.in(), false);
            if (answer == null) {
                end = "channel closed without an answer";
                connection.socket().close();
            } else {
                status = answer.status;
                end = answer.header("X-Rattanplank-Replica-Stamp").isEmpty()
                        ? "own answer"
                        : "stamp " + answer.header("X-Rattanplank-Replica-Stamp") + ", " + answer.body.length + " B";
                if (answer.header("connection").equalsIgnoreCase("close")) {
                    connection.socket().close();
                } else {
                    kept.push(connection);
                }
            }
        } catch (IOException e) {
            end = e.getClass().getSimpleName() + ": " + e.getMessage();
            try {
                if (connection != null) {
                    connection.socket().close();
                }
            } catch (IOException ignored) {
                // It is closed in any case.
            }
        }
        Outcome outcome = new Outcome(id, sent, kit.nowMillis(), status, end);
        kit.log("client " + id + " sent at " + sent + " ended after " + outcome.tookMillis() + " ms: "
                + (status == 0 ? "no answer" : status) + ", " + end);
        synchronized (outcomes) {
            outcomes.add(outcome);
        }
    }

    List<Outcome> await() throws InterruptedException {
        while (true) {
            List<Thread> running;
            synchronized (threads) {
                threads.removeIf(thread -> !thread.isAlive());
                running = List.copyOf(threads);
            }
            if (running.isEmpty()) {
                synchronized (outcomes) {
                    return List.copyOf(outcomes);
                }
            }
            running.get(0).join();
        }
    }
}
