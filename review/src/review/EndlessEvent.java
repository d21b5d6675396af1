package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** A replica sends the body of one stream without end: small pieces, and never the end of an event. */
public final class EndlessEvent {
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int SLACK_MILLIS = 500;
    private static final int MIN_LATE = 8;
    private static final int EVENTS = 48;
    private static final String PIECE = " again..";

    private EndlessEvent() {}

    public static void main(String[] args) {
        System.exit(Kit.play(Path.of(args[0]), EndlessEvent::run));
    }

    private static int run(Kit kit) throws Exception {
        kit.startStore();
        kit.configure(
                List.of(
                        Kit.route("drafts", "streaming", "writer", 10_000, ""),
                        Kit.route("bookings", "unsafe", "desk", TIMEOUT_MILLIS, "")),
                List.of(Kit.service("writer"), Kit.service("desk")));
        kit.register("w1", "writer", "suva-hall", kit.serve("w1", (request, out) -> draft(kit, request, out)), 64);
        for (String id : List.of("d1", "d2")) {
            kit.register(id, "desk", "suva-hall", kit.serve(id, (request, out) -> {
                kit.log("replica " + id + " runs " + request.id());
                Kit.sleep(20);
                Kit.answerSoundly(request, out, 800);
            }), 64);
        }
        List<String> regions = List.of("suva", "lautoka", "labasa");
        Kit.Host host = kit.startHost("suva", regions);
        Kit.Host other = kit.startHost("suva", regions);
        host.awaitReady();
        other.awaitReady();
        // Longer than stable_window_ms: the machines are in touch.
        Kit.sleep(8_000);

        long begin = kit.nowMillis();
        Bookings bookings = new Bookings(kit, host.callers, "booking", "POST", "/bookings/x", 10_000, 200);
        bookings.sendEvery(200, begin + 14_000);
        Kit.sleep(3_000);
        Thread client = new Thread(() -> askForDraft(kit, host));
        client.setDaemon(true);
        client.start();
        List<Bookings.Outcome> all = bookings.await();

        long longer = all.stream().filter(each -> !each.isAnswered() || each.tookMillis() > TIMEOUT_MILLIS).count();
        long late = all.stream()
                .filter(each -> !each.isAnswered() || each.tookMillis() > TIMEOUT_MILLIS + SLACK_MILLIS)
                .count();
        kit.log("bookings " + all.size() + ", longer than timeout_ms " + longer + ", without a final answer "
                + SLACK_MILLIS + " ms after it " + late + "; the gateway process "
                + (host.process.isAlive() ? "runs" : "has ended") + ", ready " + host.isReady());
        for (String line : host.output()) {
            if (line.contains("LOOP_LATE") || line.contains("loop")) {
                kit.log("gateway: " + line);
            }
        }
        return late >= MIN_LATE && 4 * late > longer ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }

    private static void draft(Kit kit, Kit.Message request, java.io.OutputStream out) throws IOException {
        kit.log("replica w1 runs " + request.id());
        out.write(Kit.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        if (!kit.trouble) {
            for (int i = 1; i <= EVENTS; i++) {
                out.write(chunk("id: " + i + "\ndata: " + PIECE.repeat(8) + "\n\n"));
                Kit.sleep(20);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            kit.log("replica w1 has ended " + request.id());
            return;
        }
        out.write(chunk("id: 1\ndata:"));
        StringBuilder pieces = new StringBuilder();
        for (int i = 0; i < 500; i++) {
            pieces.append(new String(chunk(PIECE), StandardCharsets.ISO_8859_1));
        }
        byte[] batch = pieces.toString().getBytes(StandardCharsets.ISO_8859_1);
        long sent = 0;
        try {
            while (true) {
                out.write(batch);
                sent += batch.length;
            }
        } finally {
            kit.log("replica w1 has sent " + sent + " B of one event until its caller closed");
        }
    }

    private static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void askForDraft(Kit kit, Kit.Host host) {
        String id = Kit.newId("draft");
        long sent = kit.nowMillis();
        kit.log("client " + id + " asks for one draft");
        try (Socket socket = new Socket()) {
            socket.connect(host.callers, 1_000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(Kit.request("POST", "/drafts/x", id, 10_000, 200));
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()), false);
            kit.log("client " + id + " after " + (kit.nowMillis() - sent) + " ms: "
                    + (answer == null ? "channel closed" : answer.status + ", " + answer.body.length + " B"));
        } catch (IOException e) {
            kit.log("client " + id + " after " + (kit.nowMillis() - sent) + " ms: " + e);
        }
    }
}
