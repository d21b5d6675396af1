import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Replicas of an application fail part of the bookings that they run: they answer 503 after the booking was made, without
 * X-Rattanplank-Not-Executed. The client takes a 503 for the promise that it is and books once more.
 */
final class PlainRefusal implements Case.Script {
    private static final int BOOKINGS = 60;
    /** Of every ten runs four fail, as in the site's day with the most of them (x = 0.45). */
    private static final int FAILING_OF_TEN = 4;

    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final Set<Integer> refusals = Set.of(408, 421, 429, 503);

    @Override
    public List<String> regions() {
        return List.of("suva");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        for (int i = 1; i <= 3; i++) {
            new Replica(lab, "i-" + i, "desk", "suva-hall").behaviour = this::book;
        }
        Lab.Gateway gateway = lab.gateway("front-suva-1", "suva", 1);
        lab.configure(7, Lab.limits(), new JsonNode[] {Lab.route("booking", "unsafe", "desk", 1, 5_000)});
        gateway.awaitReady();
        Client client = new Client(lab, gateway);
        Set<String> broken = new TreeSet<>();
        int doubled = 0;
        for (int i = 0; i < BOOKINGS; i++) {
            boolean ranBefore = false;
            for (int attempt = 1; attempt <= 2; attempt++) {
                String id = "b" + i + "-" + attempt;
                Http answer = client.send("POST", "/booking/" + i, id, "", new byte[600]);
                boolean refused = answer != null && refusals.contains(answer.status);
                boolean ran = run.contains(id);
                if (refused && ran) {
                    lab.log("request " + id + " is answered " + answer.status + " and has run");
                    broken.add(id);
                }
                doubled += ran && ranBefore ? 1 : 0;
                ranBefore |= ran;
                if (!refused) {
                    break;
                }
                Lab.sleep(200);
            }
        }
        lab.log("answered 503 and run: " + broken.size() + "; bookings made twice by that: " + doubled);
        System.out.println("answered 503 and run: " + broken.size() + "; bookings made twice by that: " + doubled);
        return broken.isEmpty();
    }

    private boolean book(Replica replica, Http request, Socket socket, OutputStream out) throws IOException {
        run.add(Replica.requestId(request));
        String stamp = "X-Rattanplank-Replica-Stamp: " + replica.started(request) + "\r\n";
        boolean fails = replica.lab.trouble && replica.runs.get() % 10 < FAILING_OF_TEN;
        Replica.write(out, fails ? 503 : 200, request, stamp, fails ? "the booking was made, but not confirmed" : "booked");
        return true;
    }
}
