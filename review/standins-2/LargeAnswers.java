import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one region ask for answers of 3.5 MB from a service that another region has. Four clients are the usual;
 * with the disruption 2.5 times as many come at once. No process, link or replica is disturbed.
 */
final class LargeAnswers implements Case.Script {
    private static final int USUAL_CLIENTS = 4;
    private static final double BURST = 2.5;
    private static final int ROUNDS = 60;
    private static final int ANSWER_BYTES = 3_500_000;
    /** LOST: more than three times. */
    private static final int MAX_LOST = 3;

    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    @Override
    public List<String> regions() {
        return List.of("suva", "lautoka");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        for (int i = 1; i <= 3; i++) {
            new Replica(lab, "i-" + i, "manuals", "lautoka-hall").behaviour = this::answer;
        }
        Lab.Gateway entry = lab.gateway("front-suva-1", "suva", 1);
        Lab.Gateway other = lab.gateway("front-lautoka-1", "lautoka", 2);
        lab.configure(7, Lab.limits(), new JsonNode[] {Lab.route("manual", "unsafe", "manuals", 1, 10_000)});
        entry.awaitReady();
        other.awaitReady();
        awaitForwarding(lab, entry);
        int clients = lab.trouble ? (int) (USUAL_CLIENTS * BURST) : USUAL_CLIENTS;
        lab.log(clients + " clients ask for answers of " + ANSWER_BYTES + " bytes");
        CyclicBarrier together = new CyclicBarrier(clients);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int number = i;
            threads.add(Replica.daemon(() -> runClient(lab, new Client(lab, entry), number, together)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        lab.log("whole answers " + whole + ", failures " + failed
                + ", passed on, run and closed without a whole answer " + lost + " (allowed " + MAX_LOST + ")");
        System.out.println("whole " + whole + ", failures " + failed + ", closed without a whole answer " + lost);
        return lost.get() <= MAX_LOST;
    }

    private static void awaitForwarding(Lab lab, Lab.Gateway entry) throws IOException {
        Client client = new Client(lab, entry);
        for (int i = 0; i < 100; i++) {
            Http answer = client.send("POST", "/manual/warm", "warm-" + i, "X-Want: 10\r\n", new byte[0]);
            if (answer != null && answer.status == 200) {
                return;
            }
            Lab.sleep(200);
        }
        throw new IOException("no request was forwarded in 20 s");
    }

    private void runClient(Lab lab, Client client, int number, CyclicBarrier together) {
        try {
            together.await();
            for (int round = 0; round < ROUNDS; round++) {
                if (!client.isConnected()) {
                    // A channel counts as kept once it has carried a request.
                    client.send("POST", "/manual/small", "c" + number + "-" + round + "-small", "X-Want: 10\r\n", new byte[0]);
                }
                String id = "c" + number + "-" + round;
                Http answer = client.send("POST", "/manual/large", id, "X-Want: " + ANSWER_BYTES + "\r\n", new byte[0]);
                if (answer == null || !answer.complete) {
                    (run.contains(id) ? lost : failed).incrementAndGet();
                } else {
                    (answer.status == 200 && answer.body.length == ANSWER_BYTES ? whole : failed).incrementAndGet();
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private boolean answer(Replica replica, Http request, java.net.Socket socket, java.io.OutputStream out) throws IOException {
        run.add(Replica.requestId(request));
        String stamp = replica.started(request);
        byte[] body = new byte[Integer.parseInt(request.header("X-Want"))];
        Arrays.fill(body, (byte) 'x');
        out.write(("HTTP/1.1 200 OK\r\nX-Rattanplank-Request-Id: " + Replica.requestId(request)
                        + "\r\nX-Rattanplank-Replica-Stamp: " + stamp + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        return true;
    }
}
