package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A request crashes each replica that begins to run it, a moment after its impatient client has left. */
public final class CrashAfterLeave {
    private static final int STABLE_WINDOW_MILLIS = 6_000;
    private static final int MAX_RETRIES = 3;
    private static final int CRASHES_BEFORE = 3;
    /** Half of the objective of the site's bookings. */
    private static final int LEAVE_MILLIS = 300;

    private static final int CRASH_MILLIS = 500;
    private static final int DOWN_MILLIS = 2_000;
    private static final int REPLICAS = 6;

    /** Two spans of less than 5.5 s in which impatient clients send the request. */
    private static final List<Integer> SENT_AT_MILLIS =
            List.of(0, 1_300, 2_600, 3_900, 11_000, 12_100, 13_200, 14_300, 15_400);

    private static final int SOUND_MILLIS = 18_000;
    private static final int SOUND_PERIOD_MILLIS = 50;
    private static final int POISONED_BYTES = 77;

    private CrashAfterLeave() {}

    public static void main(String[] args) {
        System.exit(Kit.play(Path.of(args[0]), CrashAfterLeave::run));
    }

    private static int run(Kit kit) throws Exception {
        kit.startStore();
        kit.configure(List.of(Kit.route("bookings", "unsafe", "desk", 5_000, "")), List.of(Kit.service("desk")));
        List<Long> arrivals = new CopyOnWriteArrayList<>();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        for (int i = 1; i <= REPLICAS; i++) {
            new Replica(kit, "d" + i, arrivals, crashes).start(0);
        }
        List<String> regions = List.of("suva", "lautoka", "labasa");
        List<Kit.Host> hosts = List.of(kit.startHost("suva", regions), kit.startHost("suva", regions));
        for (Kit.Host host : hosts) {
            host.awaitReady();
        }
        // Longer than stable_window_ms: the machines are in touch.
        Kit.sleep(8_000);
        long begin = kit.nowMillis();
        List<Bookings> sound = new ArrayList<>();
        for (Kit.Host host : hosts) {
            Bookings bookings = new Bookings(kit, host.callers, "booking", "POST", "/bookings/x", 10_000, 200);
            bookings.sendEvery(SOUND_PERIOD_MILLIS, begin + SOUND_MILLIS);
            sound.add(bookings);
        }
        for (int i = 0; i < SENT_AT_MILLIS.size(); i++) {
            Kit.Host host = hosts.get(i % hosts.size());
            Kit.sleep(begin + SENT_AT_MILLIS.get(i) - kit.nowMillis());
            Thread client = new Thread(() -> askPoisoned(kit, host));
            client.setDaemon(true);
            client.start();
        }
        int asked = 0;
        long served = 0;
        for (Bookings each : sound) {
            List<Bookings.Outcome> outcomes = each.await();
            asked += outcomes.size();
            served += outcomes.stream().filter(outcome -> outcome.status() == 200).count();
        }
        List<Long> inOrder = new ArrayList<>(crashes);
        inOrder.sort(null);
        long from = inOrder.size() < CRASHES_BEFORE
                ? Long.MAX_VALUE
                : inOrder.get(CRASHES_BEFORE - 1) + STABLE_WINDOW_MILLIS;
        long late = arrivals.stream().filter(each -> each > from).count();
        kit.log("summary: the request reached replicas " + arrivals.size() + " times and crashed " + crashes.size()
                + "; sent later than " + STABLE_WINDOW_MILLIS + " ms after the third crash " + late + ", allowed "
                + MAX_RETRIES + "; sound bookings served " + served + " of " + asked);
        return late > MAX_RETRIES ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }

    private static void askPoisoned(Kit kit, Kit.Host host) {
        String id = Kit.newId("poisoned");
        try (Socket socket = new Socket()) {
            socket.connect(host.callers, 1_000);
            socket.getOutputStream().write(Kit.request("POST", "/bookings/poisoned", id, 10_000, POISONED_BYTES));
            socket.setSoTimeout(kit.trouble ? LEAVE_MILLIS : 10_000);
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()), false);
            kit.log("client " + id + " at " + host.name + ": "
                    + (answer == null ? "channel closed" : answer.firstLine));
        } catch (IOException e) {
            kit.log("client " + id + " at " + host.name + " leaves: " + e.getMessage());
        }
    }

    /** A replica that crashes as a process does: its port refuses connections, and those that it had end. */
    private static final class Replica {
        private final Kit kit;
        private final String name;
        private final List<Long> arrivals;
        private final List<Long> crashes;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private String id;
        private ServerSocket server;

        private Replica(Kit kit, String name, List<Long> arrivals, List<Long> crashes) {
            this.kit = kit;
            this.name = name;
            this.arrivals = arrivals;
            this.crashes = crashes;
        }

        /** Starts a lifetime, with an id and a port of its own. */
        private void start(int lifetime) throws IOException {
            id = name + "-" + lifetime;
            ServerSocket opened = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            server = opened;
            Thread acceptor = new Thread(() -> accept(opened, lifetime));
            acceptor.setDaemon(true);
            acceptor.start();
            kit.register(
                    id, "desk", "suva-hall", (InetSocketAddress) opened.getLocalSocketAddress(), 64,
                    () -> !opened.isClosed());
        }

        private void accept(ServerSocket opened, int lifetime) {
            while (true) {
                try {
                    Socket socket = opened.accept();
                    sockets.add(socket);
                    Thread thread = new Thread(() -> serve(socket, lifetime));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, int lifetime) {
            String self = name + "-" + lifetime;
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Kit.Message request = Kit.Message.read(in, false);
                        request != null;
                        request = Kit.Message.read(in, false)) {
                    if (request.body.length == POISONED_BYTES) {
                        arrivals.add(kit.nowMillis());
                        kit.log("replica " + self + " begins to run " + request.id());
                        Kit.sleep(CRASH_MILLIS);
                        crash(lifetime);
                        return;
                    }
                    Kit.sleep(86);
                    Kit.answerSoundly(request, out, 800);
                }
            } catch (IOException e) {
                // The gateway closed the connection, or the replica has crashed.
            }
        }

        private synchronized void crash(int lifetime) throws IOException {
            if (!id.equals(name + "-" + lifetime) || server.isClosed()) {
                return;
            }
            crashes.add(kit.nowMillis());
            kit.log("replica " + id + " crashes");
            server.close();
            for (Socket each : sockets) {
                each.close();
            }
            sockets.clear();
            Thread restart = new Thread(() -> {
                Kit.sleep(DOWN_MILLIS);
                try {
                    start(lifetime + 1);
                } catch (IOException e) {
                    kit.log("replica " + name + " can't start: " + e);
                }
            });
            restart.setDaemon(true);
            restart.start();
        }
    }
}
