import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The replicas of a service are replaced one after the other. Their answers are streams that end with their channel. A
 * replica that leaves serves on for drain_ms and a little longer, then takes no new channels, ends the streams that it
 * still has, each whole, and exits. One of two gateways gets a SIGHUP shortly before.
 */
final class LeavingUnframed implements Case.Script {
    private static final int CLIENTS = 140;
    private static final int EVENTS = 30;
    private static final long EVENT_MILLIS = 250;
    private static final long DRAIN_MILLIS = 4_000;
    private static final long LITTLE_LONGER_MILLIS = 500;
    /** Three of seven: the site file has share = 0.45. */
    private static final int REPLICAS = 7;
    private static final int REPLACED = 3;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long CONFIG_APPLY_MILLIS = 4_000;

    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger lostAroundHup = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();
    private final ConcurrentHashMap<Replica, AtomicInteger> inFlight = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<Lab.Gateway, Long> hupMillis = new ConcurrentHashMap<>();

    @Override
    public List<String> regions() {
        return List.of("suva");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= REPLICAS; i++) {
            replicas.add(replica(lab, "i-" + i));
        }
        new Replica(lab, "i-desk", "desk", "suva-hall");
        List<Lab.Gateway> gateways =
                List.of(lab.gateway("front-suva-1", "suva", 1), lab.gateway("front-suva-2", "suva", 2));
        ObjectNode route = Lab.route("query", "streaming", "desk-llm", 1, 10_000);
        route.put("resumable", false).put("gap_target_ms", 400);
        lab.configure(7, Lab.limits(), route, Lab.route("slot", "safe", "desk", 2, 5_000));
        gateways.forEach(Lab.Gateway::awaitReady);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Lab.Gateway gateway = gateways.get(i % 2);
            threads.add(Replica.daemon(() -> runClient(lab, new Client(lab, gateway), gateway, number)));
        }
        Lab.sleep(12_000);
        for (int i = 0; i < REPLACED; i++) {
            Lab.Gateway gateway = gateways.get(i % 2);
            if (lab.trouble) {
                replace(lab, replicas.get(i), "i-" + (1 + REPLICAS + i), gateway);
            } else {
                Lab.sleep(5_000);
                hup(gateway);
            }
            Lab.sleep(1_500);
        }
        Lab.sleep(lab.trouble ? 0 : 5_000);
        over.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        String line = "whole streams " + whole + ", ended whole by their replica and cut for their client " + lost
                + ", of these around a SIGHUP of their gateway " + lostAroundHup + ", others "
                + others;
        lab.log(line);
        System.out.println(line);
        return lostAroundHup.get() == 0;
    }

    private Replica replica(Lab lab, String id) throws IOException {
        Replica replica = new Replica(lab, id, "desk-llm", "suva-hall");
        inFlight.put(replica, new AtomicInteger());
        replica.behaviour = this::stream;
        return replica;
    }

    private void hup(Lab.Gateway gateway) throws IOException {
        hupMillis.put(gateway, now());
        gateway.signal("HUP");
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void replace(Lab lab, Replica old, String newId, Lab.Gateway gateway) throws IOException {
        replica(lab, newId);
        Lab.sleep(1_000);
        old.state = "draining";
        old.register();
        lab.log("replica " + old.id + " reports draining");
        Lab.sleep(DRAIN_MILLIS);
        hup(gateway);
        Lab.sleep(LITTLE_LONGER_MILLIS);
        lab.log("replica " + old.id + " takes no new channels, " + inFlight.get(old) + " streams go on");
        old.stop();
        while (inFlight.get(old).get() > 0) {
            Lab.sleep(20);
        }
        lab.log("replica " + old.id + " has ended all its streams, and exits");
        lab.store.remove("servers/" + old.id);
    }

    private boolean stream(Replica replica, Http request, Socket socket, OutputStream out) throws IOException {
        inFlight.get(replica).incrementAndGet();
        try {
            String stamp = replica.started(request);
            out.write(("HTTP/1.1 200 OK\r\nX-Rattanplank-Request-Id: " + Replica.requestId(request)
                            + "\r\nX-Rattanplank-Replica-Stamp: " + stamp + "\r\nContent-Type: text/event-stream\r\n"
                            + "Connection: close\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 1; i <= EVENTS; i++) {
                out.write(("id: " + i + "\ndata: part " + i + " of " + Replica.requestId(request) + "\n\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Lab.sleep(EVENT_MILLIS);
            }
            ended.add(Replica.requestId(request));
            replica.lab.log("replica " + replica.id + " has sent all events of " + Replica.requestId(request)
                    + " and ends its channel");
            socket.shutdownOutput();
            return false;
        } finally {
            inFlight.get(replica).decrementAndGet();
        }
    }

    private void runClient(Lab lab, Client client, Lab.Gateway gateway, int number) {
        try {
            Lab.sleep(number * EVENTS * EVENT_MILLIS / CLIENTS);
            for (int i = 0; !over.get(); i++) {
                String id = "t" + number + "-" + i;
                if (!client.isConnected()) {
                    // A channel counts as kept once it has carried a request.
                    client.send("GET", "/slot/" + i, id + "-slot", "", new byte[0]);
                }
                long sent = now();
                Http answer = client.send("POST", "/query/" + i, id, "", new byte[800]);
                long hup = hupMillis.getOrDefault(gateway, Long.MAX_VALUE);
                boolean aroundHup =
                        hup < now() && sent < hup + CONFIG_APPLY_MILLIS && now() < sent + DEADLINE_MILLIS;
                if (answer != null && answer.status == 200 && answer.complete) {
                    whole.incrementAndGet();
                } else if (ended.contains(id) && (answer == null || !answer.complete)) {
                    lab.log("stream " + id + " was ended whole by its replica and cut for its client"
                            + (aroundHup ? ", around a SIGHUP of its gateway" : ""));
                    lost.incrementAndGet();
                    lostAroundHup.addAndGet(aroundHup ? 1 : 0);
                } else {
                    others.incrementAndGet();
                    Lab.sleep(200);
                }
                Lab.sleep(100);
            }
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
