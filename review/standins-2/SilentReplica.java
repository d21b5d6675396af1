import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two replicas answer with streams. After a SIGHUP of one of two gateways one of the replicas sends nothing for a while,
 * and then goes on where it was. A replica that has neither a slot nor room in its queue says so.
 */
class SilentReplica implements Case.Script {
    private static final int CLIENTS = 60;
    private static final int SLOTS = 32;
    private static final int QUEUE = 4;
    private static final int EVENTS = 40;
    private static final long EVENT_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long SILENT_MILLIS = 2_500;
    private static final long CONFIG_APPLY_MILLIS = 4_000;
    private static final long STABLE_MILLIS = 8_500;
    /** No start of a process lies in the stable window before a request that counts. */
    private static final long FIRST_WAIT_MILLIS = 4_000;
    private static final int ROUNDS = 4;

    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final ConcurrentHashMap<String, Site> sites = new ConcurrentHashMap<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();

    /** What a replica has room for, and until when it sends nothing. */
    private static final class Site {
        private final Semaphore slots = new Semaphore(SLOTS, true);
        private final AtomicInteger requests = new AtomicInteger();
        private volatile long silentUntil;
    }

    /** A gateway, and when it was last told to read its settings again. */
    private static final class Entry {
        private final Lab.Gateway gateway;
        private volatile long hupMillis = Long.MAX_VALUE / 2;

        private Entry(Lab.Gateway gateway) {
            this.gateway = gateway;
        }
    }

    @Override
    public List<String> regions() {
        return List.of("lautoka");
    }

    /** Returns whether the streams may be resumed; otherwise their engines keep backups, for which there is no room. */
    boolean isResumable() {
        return true;
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        List<Replica> replicas = List.of(replica(lab, "i-1"), replica(lab, "i-2"));
        List<Entry> entries = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            entries.add(new Entry(lab.gateway("front-lautoka-" + i, "lautoka", i)));
        }
        if (!isResumable()) {
            lab.engine = Store.JSON.createObjectNode()
                    .put("slots", SLOTS)
                    .put("stride", 8)
                    .put("kv_capacity_tokens", 368_586)
                    .put("backups", true);
        }
        ObjectNode route = Lab.route("draft", "streaming", "desk-llm", 2, 12_000);
        route.put("resumable", isResumable()).put("gap_target_ms", 400).put("target_latency_ms", 1_200);
        lab.configure(7, Lab.limits(), route);
        for (Entry each : entries) {
            each.gateway.awaitReady();
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Entry entry = entries.get(i % 2);
            threads.add(Replica.daemon(() -> runClient(lab, new Client(lab, entry.gateway), entry, number)));
        }
        Lab.sleep(FIRST_WAIT_MILLIS);
        for (int i = 0; i < ROUNDS; i++) {
            Lab.sleep(STABLE_MILLIS);
            Entry entry = entries.get(i / 2 % 2);
            entry.hupMillis = now();
            entry.gateway.signal("HUP");
            Lab.sleep(1_000);
            silence(lab, replicas.get(i % 2), replicas.get((i + 1) % 2));
        }
        Lab.sleep(STABLE_MILLIS);
        over.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        String line = "whole streams " + whole + ", lost around a SIGHUP " + lost + ", refused " + refused
                + ", cut but not around a SIGHUP of their gateway " + others;
        lab.log(line);
        System.out.println(line);
        return lost.get() == 0;
    }

    private void silence(Lab lab, Replica replica, Replica other) {
        if (lab.trouble) {
            lab.log("replica " + replica.id + " sends nothing for " + SILENT_MILLIS + " ms, with "
                    + sites.get(replica.id).requests + " streams; replica " + other.id + " has "
                    + sites.get(other.id).requests);
            sites.get(replica.id).silentUntil = now() + SILENT_MILLIS;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Replica replica(Lab lab, String id) throws IOException {
        sites.put(id, new Site());
        Replica replica = new Replica(lab, id, "desk-llm", "lautoka-hall");
        replica.slots = SLOTS;
        replica.behaviour = this::receive;
        replica.register();
        return replica;
    }

    private boolean receive(Replica replica, Http request, Socket socket, OutputStream out) throws IOException {
        String id = Replica.requestId(request);
        Site site = sites.get(replica.id);
        boolean copy = !request.header("Kv-From").isEmpty();
        try {
            if (site.requests.incrementAndGet() > SLOTS + QUEUE || copy) {
                replica.lab.log("replica " + replica.id + (copy ? " has no copy of " : " is full and rejects ") + id);
                Replica.write(out, 503, request, "X-Rattanplank-Not-Executed: 1\r\n", "");
                return true;
            }
            site.slots.acquireUninterruptibly();
            try {
                stream(replica, request, out);
            } finally {
                site.slots.release();
            }
            return true;
        } finally {
            site.requests.decrementAndGet();
        }
    }

    private void stream(Replica replica, Http request, OutputStream out) throws IOException {
        String id = Replica.requestId(request);
        String last = request.header("Last-Event-Id");
        String stamp = replica.started(request);
        begun.add(id);
        awaitSpeech(replica);
        out.write(("HTTP/1.1 200 OK\r\nX-Rattanplank-Request-Id: " + id + "\r\nX-Rattanplank-Replica-Stamp: " + stamp
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = last.isEmpty() ? 1 : 1 + Integer.parseInt(last); i <= EVENTS; i++) {
            awaitSpeech(replica);
            String event = "id: " + i + "\ndata: part " + i + " of " + id + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Lab.sleep(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void awaitSpeech(Replica replica) {
        while (now() < sites.get(replica.id).silentUntil) {
            Lab.sleep(10);
        }
    }

    private void runClient(Lab lab, Client client, Entry entry, int number) {
        try {
            Lab.sleep(number * EVENTS * EVENT_MILLIS / CLIENTS);
            for (int i = 0; !over.get(); i++) {
                String id = "t" + number + "-" + i;
                long sent = now();
                Http answer = client.send("POST", "/draft/" + i, id, headers(number), new byte[800]);
                long ended = now();
                if (answer != null && answer.complete) {
                    (answer.status == 200 ? whole : refused).incrementAndGet();
                    Lab.sleep(answer.status == 200 ? 50 : 500);
                    continue;
                }
                boolean around = sent <= entry.hupMillis + CONFIG_APPLY_MILLIS && ended >= entry.hupMillis;
                boolean counts = around && begun.contains(id) && ended - sent < DEADLINE_MILLIS - 500;
                lab.log("stream " + id + " ended " + (ended - sent) + " ms after it was sent, without a complete answer, "
                        + (counts ? (ended - entry.hupMillis) + " ms after the SIGHUP of its gateway" : "which doesn't count"));
                (counts ? lost : others).incrementAndGet();
                Lab.sleep(200);
            }
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private String headers(int number) {
        return "X-Rattanplank-Model: m\r\nX-Rattanplank-Token-Usage: 800,320\r\nX-Rattanplank-Prompt-Prefix: a1:400,b"
                + Integer.toHexString(number) + ":400\r\n";
    }
}
