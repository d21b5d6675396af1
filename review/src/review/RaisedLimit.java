package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The operator raises the limit of bodies; clients that keep their channels go on to be held to the old one. */
public final class RaisedLimit {
    private static final int OLD_LIMIT_BYTES = 1_048_576;
    private static final int BODY_BYTES = 1_500_000;
    private static final int CHANNELS = 20;
    private static final int CONFIG_APPLY_MILLIS = 4_000;
    private static final int STABLE_WINDOW_MILLIS = 6_000;
    private static final int DENIED_SLACK = 5;
    private static final int DENIED_ONE_IN = 500;

    private RaisedLimit() {}

    public static void main(String[] args) throws Exception {
        int exit = Kit.EXIT_NOT_RUN;
        try (Kit kit = new Kit(Path.of(args[0]))) {
            try {
                exit = run(kit);
            } catch (IOException | RuntimeException e) {
                kit.log("the case could not run: " + e);
            }
            kit.log("exit " + exit);
        }
        System.exit(exit);
    }

    private static int run(Kit kit) throws Exception {
        List<String> routes = List.of(Kit.route("bookings", "unsafe", "desk", 5_000, ""));
        List<String> services = List.of(Kit.service("desk"));
        kit.startStore();
        kit.configure(7, OLD_LIMIT_BYTES, routes, services);
        for (String id : List.of("d1", "d2")) {
            kit.register(id, "desk", "suva-hall", kit.serve(id, (request, out) -> {
                kit.log("replica " + id + " runs " + request.id() + ", body " + request.body.length + " B");
                Kit.sleep(20);
                Kit.answerSoundly(request, out, 800);
            }), 64);
        }
        List<String> regions = List.of("suva", "lautoka", "labasa");
        List<Kit.Host> hosts = List.of(kit.startHost("suva", regions), kit.startHost("suva", regions));
        for (Kit.Host host : hosts) {
            host.awaitReady();
        }
        if (!kit.trouble) {
            kit.configure(8, Kit.MAX_BODY_BYTES, routes, services);
        }
        Kit.sleep(8_000);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) {
            clients.add(new Client(kit, hosts.get(i % hosts.size())));
        }
        int sent = 0;
        int served = 0;
        for (Client client : clients) {
            sent++;
            served += client.send(600) == 200 ? 1 : 0;
        }
        if (kit.trouble) {
            kit.configure(8, Kit.MAX_BODY_BYTES, routes, services);
        }
        // Far longer than the bound; each channel is used well within idle_timeout_ms.
        long until = kit.nowMillis() + Math.max(CONFIG_APPLY_MILLIS, STABLE_WINDOW_MILLIS) + 10_000;
        while (kit.nowMillis() < until) {
            for (Client client : clients) {
                sent++;
                served += client.send(600) == 200 ? 1 : 0;
            }
            Kit.sleep(3_000);
        }
        int denied = 0;
        for (Client client : clients) {
            sent++;
            int status = client.send(BODY_BYTES);
            served += status == 200 ? 1 : 0;
            denied += status == 413 ? 1 : 0;
        }
        for (Kit.Host host : hosts) {
            sent++;
            int status = new Client(kit, host).send(BODY_BYTES);
            served += status == 200 ? 1 : 0;
            kit.log("the same body over a new channel at " + host.name + ": " + status);
        }
        kit.log("summary: requests " + sent + ", served " + served + ", ended with 413 " + denied + ", allowed "
                + (DENIED_SLACK + sent / DENIED_ONE_IN));
        return denied > DENIED_SLACK + sent / DENIED_ONE_IN ? Kit.EXIT_BROKEN : Kit.EXIT_HELD;
    }

    /** A sound client with one channel, which it keeps until its host closes it. */
    private static final class Client {
        private final Kit kit;
        private final Kit.Host host;
        private Socket socket;
        private InputStream in;
        private int requests;

        private Client(Kit kit, Kit.Host host) {
            this.kit = kit;
            this.host = host;
        }

        private int send(int bodyBytes) throws IOException {
            String id = Kit.newId("booking");
            if (socket == null) {
                socket = new Socket();
                socket.connect(host.callers, 1_000);
                socket.setSoTimeout(10_000);
                in = new BufferedInputStream(socket.getInputStream());
                requests = 0;
            }
            requests++;
            int status = 0;
            String end;
            try {
                socket.getOutputStream().write(Kit.request("POST", "/bookings/x", id, 10_000, bodyBytes));
                Kit.Message answer = Kit.Message.read(in, false);
                status = answer == null ? 0 : answer.status;
                end = answer == null ? "channel closed without an answer" : answer.firstLine;
                if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
                    close();
                }
            } catch (IOException e) {
                end = e.toString();
                close();
            }
            kit.log("client " + id + ", request " + requests + " of its channel to " + host.name + ", body " + bodyBytes
                    + " B: " + end);
            return status;
        }

        private void close() throws IOException {
            socket.close();
            socket = null;
        }
    }
}
