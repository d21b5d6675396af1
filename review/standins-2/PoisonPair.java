import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes the replicas that run it, and a prompt part that crashes the replicas that answer on it, come at the
 * same time, after some seconds without traffic. Both hold the first part that all requests of the route share.
 */
final class PoisonPair implements Case.Script {
    private static final int REPLICAS = 6;
    /** Longer than the stable window: the gateway is in touch when the first request counts. */
    private static final long IN_TOUCH_MILLIS = 7_000;
    private static final int CALM_REQUESTS = 30;
    private static final int LATE_REQUESTS = 40;
    private static final long QUIET_MILLIS = 7_000;
    private static final long POISON_EVERY_MILLIS = 900;
    private static final int POISON_TO_COME = 16;
    private static final long RETURN_MILLIS = 3_000;
    private static final long TWICE_STABLE_WINDOW_MILLIS = 12_000;
    private static final int FIFTH = 5;

    private final Map<String, Boolean> began = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger partCrashes = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile long fifthCrashMillis;

    @Override
    public List<String> regions() {
        return List.of("suva");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        for (int i = 0; i < REPLICAS; i++) {
            new Replica(lab, "i-" + i, "writer", "suva-hall").behaviour = this::write;
        }
        Lab.Gateway gateway = lab.gateway("front-suva-1", "suva", 1);
        ObjectNode route = Lab.route("draft", "streaming", "writer", 2, 10_000);
        lab.configure(7, Lab.limits(), route.put("resumable", true).put("gap_target_ms", 400));
        gateway.awaitReady();
        Lab.sleep(IN_TOUCH_MILLIS);
        Client sound = new Client(lab, gateway);
        int calm = 0;
        for (int i = 0; i < CALM_REQUESTS; i++) {
            calm += begins(sound, "calm-" + i) ? 1 : 0;
        }
        lab.log("quiet for " + QUIET_MILLIS + " ms");
        Lab.sleep(QUIET_MILLIS);
        fifthCrashMillis = millis();
        Thread poison = Replica.daemon(() -> poison(lab, new Client(lab, gateway)));
        Lab.sleep(POISON_TO_COME * POISON_EVERY_MILLIS);
        while (millis() < fifthCrashMillis + TWICE_STABLE_WINDOW_MILLIS) {
            Lab.sleep(50);
        }
        lab.log(crashes + " crashes; it is " + TWICE_STABLE_WINDOW_MILLIS + " ms after the fifth");
        sound = new Client(lab, gateway);
        int late = 0;
        for (int i = 0; i < LATE_REQUESTS; i++) {
            late += begins(sound, "late-" + i) ? 1 : 0;
            Lab.sleep(100);
        }
        over.set(true);
        poison.join();
        String line = "sound requests that began at the first attempt: " + calm + " of " + CALM_REQUESTS + " in calm, " + late
                + " of " + LATE_REQUESTS + " later; crashes " + crashes;
        lab.log(line);
        System.out.println(line);
        return (double) late / LATE_REQUESTS >= 0.5 * calm / CALM_REQUESTS;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private boolean begins(Client client, String id) throws IOException {
        client.send("POST", "/draft/" + id, id, parts("f1:500,a" + id.hashCode() % 5 + ":200," + id + ":100"), new byte[300]);
        return began.containsKey(id);
    }

    private static String parts(String prefix) {
        return "X-Rattanplank-Model: m\r\nX-Rattanplank-Token-Usage: 800,40\r\nX-Rattanplank-Prompt-Prefix: " + prefix + "\r\n";
    }

    /** Sends the crashing request and requests with the crashing part by turns, until the case is over. */
    private void poison(Lab lab, Client client) {
        try {
            for (int i = 0; !over.get(); i++) {
                if (lab.trouble && i % 2 == 0) {
                    client.send("POST", "/draft/deadly", "deadly-" + i, parts("f1:500,b:200,c:100"), new byte[300]);
                } else if (lab.trouble) {
                    client.send("POST", "/draft/part-" + i, "part-" + i, parts("f1:500,dead:200,d" + i + ":100"), new byte[300]);
                }
                Lab.sleep(POISON_EVERY_MILLIS);
            }
        } catch (IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private boolean write(Replica replica, Http request, Socket socket, OutputStream out) throws IOException {
        String id = Replica.requestId(request);
        String stamp = replica.started(request);
        boolean deadly = request.startLine.contains("/draft/deadly ");
        boolean part = request.header("X-Rattanplank-Prompt-Prefix").contains("dead:");
        if (deadly) {
            crash(replica, id);
            return false;
        }
        out.write(("HTTP/1.1 200 OK\r\nX-Rattanplank-Request-Id: " + id + "\r\nX-Rattanplank-Replica-Stamp: " + stamp
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= 3; i++) {
            String event = "id: " + i + "\ndata: part " + i + " of " + id + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            if (part) {
                crash(replica, id);
                return false;
            }
            began.put(id, true);
            Lab.sleep(60);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private void crash(Replica replica, String id) throws IOException {
        Lab.sleep(50);
        replica.crash();
        int number = crashes.incrementAndGet();
        boolean countsAsPart = id.startsWith("part-") && partCrashes.incrementAndGet() <= FIFTH;
        replica.lab.log("replica " + replica.id + " crashes under " + id + ", crash " + number);
        // Later of the fifth crash of all, and the fifth of the part, or its last if there are fewer.
        if (number <= FIFTH || countsAsPart) {
            fifthCrashMillis = millis();
        }
        Replica.daemon(() -> {
            Lab.sleep(RETURN_MILLIS);
            try {
                new Replica(replica.lab, replica.id, replica.service, replica.zone).behaviour = this::write;
                replica.lab.log("replica " + replica.id + " is back");
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }
}
