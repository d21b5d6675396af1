package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** More clients than before send bodies of the allowed size; each takes some seconds, as its own link is slow. */
public final class UploadBurst {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int SLACK_MILLIS = 500;
    private static final int MIN_LATE = 8;
    private static final int UPLOAD_MILLIS = 4_000;
    private static final int UPLOAD_PIECES = 200;
    private static final double UPLOADS_PER_SECOND = 2;
    private static final double BURST = 2.5;
    private static final int BURST_SECONDS = 10;

    /** How long uploads are awaited that a host which stands still doesn't read. */
    private static final int LAST_UPLOADS_MILLIS = 20_000;

    private UploadBurst() {}

    public static void main(String[] args) {
        System.exit(Kit.play(Path.of(args[0]), UploadBurst::run));
    }

    private static int run(Kit kit) throws Exception {
        kit.startStore();
        kit.configure(
                List.of(
                        Kit.route("manuals", "unsafe", "desk", 10_000, ""),
                        Kit.route("bookings", "unsafe", "desk", TIMEOUT_MILLIS, "")),
                List.of(Kit.service("desk")));
        for (String id : List.of("d1", "d2", "d3")) {
            kit.register(id, "desk", "suva-hall", kit.serve(id, (request, out) -> {
                kit.log("replica " + id + " runs " + request.id() + ", body " + request.body.length + " B");
                Kit.sleep(60);
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
        Bookings bookings = new Bookings(kit, host.callers, "booking", "POST", "/bookings/x", 10_000, 600);
        bookings.sendEvery(200, begin + 22_000);
        List<Thread> uploads = new ArrayList<>();
        AtomicInteger underway = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long burstAt = begin + 8_000;
        double next = begin;
        while (next < begin + 22_000) {
            Kit.sleep((long) next - kit.nowMillis());
            Thread upload = new Thread(() -> upload(kit, host, underway, served));
            upload.setDaemon(true);
            upload.start();
            uploads.add(upload);
            boolean burst = kit.trouble && next >= burstAt && next < burstAt + BURST_SECONDS * 1_000;
            next += 1_000 / (UPLOADS_PER_SECOND * (burst ? BURST : 1));
        }
        List<Bookings.Outcome> all = bookings.await();
        long end = kit.nowMillis() + LAST_UPLOADS_MILLIS;
        for (Thread upload : uploads) {
            upload.join(Math.max(1, end - kit.nowMillis()));
        }
        long longer = all.stream().filter(each -> !each.isAnswered() || each.tookMillis() > TIMEOUT_MILLIS).count();
        long late = all.stream()
                .filter(each -> !each.isAnswered() || each.tookMillis() > TIMEOUT_MILLIS + SLACK_MILLIS)
                .count();
        kit.log("uploads " + uploads.size() + ", served " + served);
        kit.log("bookings " + all.size() + ", longer than timeout_ms " + longer + ", without a final answer "
                + SLACK_MILLIS + " ms after it " + late + "; the gateway process "
                + (host.process.isAlive() ? "runs" : "has ended") + ", ready " + host.isReady());
        for (String line : host.output()) {
            if (line.contains("loop_late") || line.contains("rror")) {
                kit.log("gateway: " + line);
            }
        }
        return late >= MIN_LATE && 4 * late > longer ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }

    private static void upload(Kit kit, Kit.Host host, AtomicInteger underway, AtomicInteger served) {
        String id = Kit.newId("manual");
        long sent = kit.nowMillis();
        int others = underway.incrementAndGet();
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(host.callers, 1_000);
            socket.setSoTimeout(10_000);
            byte[] request = Kit.request("POST", "/manuals/x", id, 15_000, Kit.MAX_BODY_BYTES);
            OutputStream out = socket.getOutputStream();
            int piece = (request.length + UPLOAD_PIECES - 1) / UPLOAD_PIECES;
            for (int i = 0; i < UPLOAD_PIECES; i++) {
                int from = i * piece;
                out.write(request, from, Math.min(piece, request.length - from));
                Kit.sleep(sent + (long) UPLOAD_MILLIS * (i + 1) / UPLOAD_PIECES - kit.nowMillis());
            }
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()), false);
            end = answer == null ? "channel closed without an answer" : Integer.toString(answer.status);
            if (answer != null && answer.status == 200) {
                served.incrementAndGet();
            }
        } catch (IOException e) {
            end = e.toString();
        }
        underway.decrementAndGet();
        kit.log("client " + id + " sent " + Kit.MAX_BODY_BYTES + " B from " + sent + " on, " + others
                + " uploads underway then, ended after " + (kit.nowMillis() - sent) + " ms: " + end);
    }
}
