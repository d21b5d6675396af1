import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Some replicas hand out wrong bytes: in a few of their answers one byte of the head is another one. */
final class SpoiledHeads implements Case.Script {
    private static final int CLIENTS = 12;
    /** Two of four replicas (share 0.5) spoil one answer in fifty (x = 0.02) for five seconds. */
    private static final int REPLICAS = 4;
    private static final int SPOILING = 2;
    private static final int SPOILED_ONE_IN = 50;
    private static final long CALM_MILLIS = 2_000;
    private static final long SPOILING_MILLIS = 5_000;
    private static final int SEED = 77;

    private final AtomicInteger unsigned = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private volatile boolean pressing;
    private volatile boolean spoiling;
    private volatile boolean over;

    @Override
    public List<String> regions() {
        return List.of("suva");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        lab.compact = true;
        for (int i = 0; i < REPLICAS; i++) {
            Random random = new Random(SEED + i);
            boolean spoils = i < SPOILING;
            new Replica(lab, "i-" + i, "desk", "suva-hall").behaviour =
                    (replica, request, socket, out) -> confirm(replica, request, out, spoils, random);
        }
        Lab.Gateway gateway = lab.gateway("front-suva-1", "suva", 1);
        lab.configure(7, Lab.limits(), new JsonNode[] {Lab.route("slot", "safe", "desk", 2, 2_000)});
        gateway.awaitReady();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Replica.daemon(() -> runClient(lab, new Client(lab, gateway), number)));
        }
        Lab.sleep(CALM_MILLIS);
        pressing = true;
        spoiling = lab.trouble;
        Lab.sleep(SPOILING_MILLIS);
        spoiling = false;
        pressing = false;
        Lab.sleep(CALM_MILLIS);
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        String line = "answers spoiled " + spoiled + "; successes " + successes + ", of these without a stamp " + unsigned
                + "; other answers " + others;
        lab.log(line);
        System.out.println(line);
        return unsigned.get() == 0;
    }

    private void runClient(Lab lab, Client client, int number) {
        try {
            for (int i = 0; !over; i++) {
                String id = "s" + number + "-" + i;
                Lab.sleep(pressing ? 0 : 20);
                Http answer = client.send("GET", "/slot/" + i, id, "", new byte[0]);
                if (answer == null || answer.status / 100 != 2) {
                    others.incrementAndGet();
                    continue;
                }
                successes.incrementAndGet();
                if (answer.header("X-Rattanplank-Replica-Stamp").isEmpty()) {
                    unsigned.incrementAndGet();
                    lab.log("the success to " + id + " has no stamp: " + answer.headers);
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private boolean confirm(Replica replica, Http request, OutputStream out, boolean spoils, Random random)
            throws IOException {
        String body = "slot confirmed for " + Replica.requestId(request);
        byte[] head = ("HTTP/1.1 200 OK\r\nX-Rattanplank-Request-Id: " + Replica.requestId(request)
                        + "\r\nX-Rattanplank-Replica-Stamp: " + replica.started(request) + "\r\nContent-Type: text/plain\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        synchronized (random) {
            if (spoils && spoiling && random.nextInt(SPOILED_ONE_IN) == 0) {
                int at = random.nextInt(head.length);
                byte letter = (byte) ('a' + random.nextInt(26));
                replica.lab.log("replica " + replica.id + " spoils byte " + at + " of its answer to " + Replica.requestId(request)
                        + ": " + (char) letter + " for " + (int) head[at]);
                head[at] = letter;
                spoiled.incrementAndGet();
            }
        }
        out.write(head);
        out.write(body.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }
}
