package review;

import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** A small deployment on loopback addresses: the project's gateway and store processes, with stand-ins in this process. */
final class Kit implements AutoCloseable {
    static final int EXIT_HELD = 0;
    static final int EXIT_BROKEN = 1;
    static final int EXIT_NOT_RUN = 2;

    static final String HOST = "desk.example";
    private static final long HEARTBEAT_MILLIS = 1_200;
    static final int MAX_BODY_BYTES = 4_194_304;
    private static final String P = "X-Rattanplank-";
    private static final String STANDINS = "rattanplank-standins/target/classes:rattanplank-standins/target/lib/*";
    private static final long READY_MILLIS = 20_000;
    private static final long RUN_LIMIT_MILLIS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path work;
    private final List<Process> processes = new ArrayList<>();
    private final String network;
    private final int firstPort;
    private String store;
    private int hosts;
    private int beats;

    Kit(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        work = Files.createTempDirectory("review-");
        long pid = ProcessHandle.current().pid();
        network = "127." + (60 + pid / 250 % 150) + "." + (1 + pid % 250);
        firstPort = freePorts();
        Thread limit = new Thread(() -> {
            sleep(RUN_LIMIT_MILLIS);
            log("the run exceeds its time limit");
            System.exit(EXIT_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        log("disruption " + (trouble ? "on" : "off"));
    }

    /** What a case does, which returns its exit code. */
    interface Case {
        int run(Kit kit) throws Exception;
    }

    /** Runs a case and ends what it started; whatever keeps it from running is no verdict. */
    static int play(Path recordFile, Case each) {
        try (Kit kit = new Kit(recordFile)) {
            int exit;
            try {
                exit = each.run(kit);
            } catch (Exception | Error e) {
                kit.log("the case could not run: " + e);
                exit = EXIT_NOT_RUN;
            }
            kit.log("exit " + exit);
            return exit;
        } catch (Exception | Error e) {
            System.err.println("the case could not run: " + e);
            return EXIT_NOT_RUN;
        }
    }

    private int freePorts() throws IOException {
        for (int base = 21_000; base < 30_000; base += 37) {
            boolean free = true;
            for (int i = 0; i < 5 && free; i++) {
                try (ServerSocket probe = new ServerSocket(base + i, 1, InetAddress.getByName(network + ".1"))) {
                    free = probe.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%7d ms  %s%n", nowMillis(), line));
            record.flush();
        } catch (IOException e) {
            System.err.println(line);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Processes

    Process start(String name, List<String> command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectOutput(work.resolve(name + ".log").toFile())
                .redirectError(work.resolve(name + ".err").toFile());
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        log("started " + name + " pid " + process.pid());
        return process;
    }

    void startStore() throws IOException {
        start(
                "store",
                List.of("java", "-Xmx128m", "-cp", STANDINS, "org.rattanplank.standins.platform.SiteStore"),
                Map.of());
        long until = nowMillis() + READY_MILLIS;
        while (nowMillis() < until) {
            for (String line : Files.readAllLines(work.resolve("store.log"))) {
                if (line.startsWith("store ready address=")) {
                    store = line.substring(line.indexOf('=') + 1);
                    log("store at " + store);
                    return;
                }
            }
            sleep(50);
        }
        throw new IOException("the store has not started");
    }

    /** A gateway process of the deploy file. */
    final class Host {
        final String name;
        final String ip;
        final InetSocketAddress callers;
        final Process process;

        Host(String name, String ip, Process process) {
            this.name = name;
            this.ip = ip;
            this.process = process;
            callers = new InetSocketAddress(ip, firstPort);
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, firstPort + 1), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(("GET /rattanplank/readyz HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                return Message.read(new BufferedInputStream(socket.getInputStream()), false).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            long until = nowMillis() + READY_MILLIS;
            while (nowMillis() < until) {
                if (isReady()) {
                    log(name + " is ready");
                    return;
                }
                sleep(100);
            }
            throw new IOException(name + " is not ready");
        }

        List<String> output() throws IOException {
            List<String> lines = new ArrayList<>(Files.readAllLines(work.resolve(name + ".log")));
            lines.addAll(Files.readAllLines(work.resolve(name + ".err")));
            return lines;
        }
    }

    Host startHost(String region, List<String> regions) throws IOException, InterruptedException {
        String name = region + "-" + ++hosts;
        String ip = network + "." + hosts;
        Path settings = work.resolve(name + ".yaml");
        Process fill = new ProcessBuilder(
                        "java", "-Xmx64m", "-cp", STANDINS, "org.rattanplank.standins.site.SiteSettings",
                        "--template", "deploy/gateway.yaml", "--output", settings.toString(), "--name", name,
                        "--region", region, "--regions", String.join(",", regions), "--ip", ip, "--port",
                        Integer.toString(firstPort), "--store", store)
                .inheritIO()
                .start();
        if (!fill.waitFor(20, TimeUnit.SECONDS) || fill.exitValue() != 0) {
            throw new IOException("no settings were written");
        }
        List<String> command = deployedCommand();
        Process process = start(name, command, Map.of("RATTANPLANK_CONFIG", settings.toString()));
        return new Host(name, ip, process);
    }

    private static List<String> deployedCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    private void killAll() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        File[] files = work.toFile().listFiles();
        if (files != null && System.getenv("KEEP") == null) {
            Arrays.stream(files).forEach(File::delete);
            work.toFile().delete();
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        record.close();
    }

    // The operator's and the replicas' writes

    void write(String key, String json) throws IOException {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        change("[{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"lease\":0}]", "[]");
    }

    private void change(String puts, String removals) throws IOException {
        byte[] body = ("{\"expected_revision\":[],\"puts\":" + puts + ",\"remove\":" + removals + "}")
                .getBytes(StandardCharsets.UTF_8);
        int colon = store.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(store.substring(0, colon), Integer.parseInt(store.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(2_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /rattanplank/kv-txn HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\n"
                            + "Content-Length: " + body.length + "\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), false);
            if (answer.status != 200) {
                throw new IOException("the store answered " + answer.status);
            }
        }
    }

    /** Writes the entry of a replica, and again at each heartbeat as replicas do. */
    void register(String id, String service, String zone, InetSocketAddress address, int slots) throws IOException {
        register(id, service, zone, address, slots, () -> true);
    }

    /** Writes the entry of a replica as long as it lives; the platform removes it after three intervals of silence. */
    void register(
            String id, String service, String zone, InetSocketAddress address, int slots, BooleanSupplier isAlive)
            throws IOException {
        Runnable beat = () -> {
            try {
                write(
                        "servers/" + id,
                        "{\"backend\":\"" + service + "\",\"address\":\"127.0.0.1:" + address.getPort()
                                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + ++beats + "}");
            } catch (IOException e) {
                log("heartbeat of " + id + ": " + e);
            }
        };
        beat.run();
        Thread thread = new Thread(() -> {
            sleep(HEARTBEAT_MILLIS);
            while (isAlive.getAsBoolean()) {
                beat.run();
                sleep(HEARTBEAT_MILLIS);
            }
            sleep(2 * HEARTBEAT_MILLIS);
            try {
                change("[]", "[\"servers/" + id + "\"]");
            } catch (IOException e) {
                log("removal of " + id + ": " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        log("replica " + id + " of " + service + " in " + zone + " at port " + address.getPort());
    }

    static String route(String name, String type, String service, int timeoutMillis, String more) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"prefix\":\"/" + name
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":"
                + timeoutMillis / 4 + ",\"priority\":1,\"backend\":\"" + service + "\",\"max_attempts\":1,"
                + "\"sticky\":false,\"resumable\":false,\"gap_target_ms\":400,\"home_regions\":[]" + more + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    void configure(List<String> routes, List<String> services) throws IOException {
        configure(7, MAX_BODY_BYTES, routes, services);
    }

    void configure(int version, int maxBodyBytes, List<String> routes, List<String> services) throws IOException {
        write(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                        + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":" + maxBodyBytes
                        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        log("the store has confirmed version " + version + ", max_body_bytes " + maxBodyBytes);
    }

    // HTTP

    /** A request or a response with its whole body. */
    static final class Message {
        final String firstLine;
        final int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        private Message(String firstLine) {
            this.firstLine = firstLine;
            String[] words = firstLine.split(" ");
            status = firstLine.startsWith("HTTP/") ? Integer.parseInt(words[1]) : 0;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String id() {
            return header(P + "Request-Id");
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        /** Reads a message, or returns null at the end of the connection. */
        static Message read(InputStream in, boolean headOnly) throws IOException {
            String line = line(in);
            if (line == null) {
                return null;
            }
            Message message = new Message(line);
            for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            if (line == null) {
                throw new IOException("the connection ended in a head");
            }
            if (headOnly) {
                return message;
            }
            if (message.header("transfer-encoding").contains("chunked")) {
                message.body = chunks(in);
            } else if (!message.header("content-length").isEmpty()) {
                int length = Integer.parseInt(message.header("content-length"));
                message.body = in.readNBytes(length);
                if (message.body.length < length) {
                    throw new IOException("the connection ended in a body");
                }
            }
            message.complete = true;
            return message;
        }

        private static byte[] chunks(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("the connection ended in a body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length || line(in) == null) {
                    throw new IOException("the connection ended in a chunk");
                }
                if (length == 0) {
                    return body.toByteArray();
                }
                body.write(chunk);
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next == '\n') {
                    return line.toString();
                }
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.length() == 0 ? null : line.toString();
        }
    }

    /** What a replica does with a request. */
    interface Work {
        void answer(Message request, OutputStream out) throws IOException;
    }

    /** Serves a replica on a free port; each connection has its thread. */
    InetSocketAddress serve(String id, Work work) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Thread thread = new Thread(() -> serveConnection(id, work, socket));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void serveConnection(String id, Work work, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            for (Message request = Message.read(in, false); request != null; request = Message.read(in, false)) {
                String expected = request.header(P + "Expect-Replica");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    out.write(("HTTP/1.1 421 Misdirected Request\r\n" + P + "Request-Id: " + request.id() + "\r\n" + P
                                    + "Replica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                work.answer(request, out);
            }
        } catch (IOException e) {
            // The gateway closed the connection.
        }
    }

    static String head(Message request, String more) {
        return "HTTP/1.1 200 OK\r\n" + P + "Request-Id: " + request.id() + "\r\n" + P + "Replica-Stamp: stamp-"
                + request.id() + "\r\n" + more + "\r\n";
    }

    /** Answers as a sound replica does. */
    static void answerSoundly(Message request, OutputStream out, int bodyBytes) throws IOException {
        byte[] head = head(request, "Keep-Alive: timeout=30\r\nContent-Length: " + bodyBytes + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] answer = Arrays.copyOf(head, head.length + bodyBytes);
        Arrays.fill(answer, head.length, answer.length, (byte) 'a');
        out.write(answer);
    }

    private static final AtomicInteger NEXT = new AtomicInteger();

    /** Returns the id of a new client attempt. */
    static String newId(String kind) {
        return kind + "-" + NEXT.incrementAndGet();
    }

    static byte[] request(String method, String path, String id, int deadlineMillis, int bodyBytes) {
        byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + P + "Request-Id: " + id + "\r\n"
                        + P + "Deadline-Ms: " + deadlineMillis + "\r\n"
                        + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(head, head.length + bodyBytes);
        Arrays.fill(all, head.length, all.length, (byte) 'b');
        return all;
    }
}
