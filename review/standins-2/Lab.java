import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the store's stand-in in this process, and gateways as processes of the deploy file's command. */
final class Lab implements AutoCloseable {
    static final String HOST_NAME = "desk.example";

    final Path folder;
    final Path temporary;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** Whether a request takes one line of the record beside that of its run. */
    volatile boolean compact;
    /** The part of the configuration that tells of the engines of each service, if it is a model service. */
    JsonNode engine;
    final Map<String, Gateway> gateways = new LinkedHashMap<>();
    private final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final List<String> zones;

    /** Creates a deployment without gateways; a zone is named REGION-hall. */
    Lab(Path folder, List<String> regions) throws IOException {
        this.folder = folder;
        temporary = Files.createTempDirectory("review-2-");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        store = new Store();
        zones = regions;
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    synchronized void log(String line) {
        try {
            String text = String.format("%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, line);
            record.write(text);
            record.newLine();
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A gateway process with the ports that it listens on. */
    final class Gateway {
        final String name;
        final String ip;
        final int port;
        private final Path settings;
        Process process;

        Gateway(String name, String region, String ip, int port) throws IOException {
            this.name = name;
            this.ip = ip;
            this.port = port;
            settings = temporary.resolve(name + ".yaml");
            ObjectNode values = Store.JSON.createObjectNode().put("node_name", name).put("ip", ip);
            values.put("zone", region + "-hall").put("region", region);
            ObjectNode zoneTable = values.putObject("zones");
            zones.forEach(each -> zoneTable.put(each + "-hall", each));
            values.putObject("listen")
                    .put("front", ip + ":" + port)
                    .put("ready", ip + ":" + (port + 1))
                    .put("directory", ip + ":" + (port + 2));
            values.putArray("port_range").add(port + 3).add(port + 10);
            values.putObject("limits").put("link_mbps", 1000.0);
            values.putObject("bounds")
                    .put("grace_s", 8)
                    .put("retry_budget_ratio", 0.2)
                    .put("retry_budget_slack", 52)
                    .put("budget_window_s", 10);
            values.putObject("provider").put("address", store.address()).put("ttl_min_ms", 1000);
            Files.writeString(settings, fill(Files.readString(Path.of("deploy/gateway.yaml")), values));
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
            run.find();
            command.addAll(List.of(run.group(1).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("RATTANPLANK_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
            process = builder.start();
            log("started gateway " + name);
        }

        void signal(String signal) throws IOException {
            log("SIG" + signal + " to gateway " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean isReady() {
            try {
                return Http.call(ip, port + 1, "GET /rattanplank/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000)
                                .status
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    return;
                }
                sleep(100);
            }
            throw new IllegalStateException("gateway " + name + " isn't ready after 30 s");
        }

        String output() throws IOException {
            return Files.readString(temporary.resolve(name + ".log"));
        }
    }

    Gateway gateway(String name, String region, int number) throws IOException {
        String ip = "127." + (1 + ProcessHandle.current().pid() / 250 % 250) + "."
                + (1 + ProcessHandle.current().pid() % 250) + "." + number;
        Gateway gateway = new Gateway(name, region, ip, freePort(ip));
        gateways.put(name, gateway);
        gateway.start();
        return gateway;
    }

    /** Returns the first of ten ports that are free. */
    private static int freePort(String ip) throws IOException {
        for (int port = 17_400; port < 30_000; port += 20) {
            boolean free = true;
            for (int i = 0; i < 12 && free; i++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port + i));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    void configure(long version, JsonNode limits, JsonNode... routes) {
        ObjectNode configuration = Store.JSON.createObjectNode().put("version", version);
        ArrayNode list = configuration.putArray("routes");
        ArrayNode services = configuration.putArray("services");
        List<String> named = new ArrayList<>();
        for (JsonNode route : routes) {
            list.add(route);
            String service = route.get("backend").asText();
            if (!named.contains(service)) {
                named.add(service);
                ObjectNode entry = services.addObject().put("name", service).put("max_conns", 100);
                if (engine != null) {
                    entry.set("engine", engine);
                }
            }
        }
        configuration.set("limits", limits);
        store.put("op/config", configuration);
        log("operator: configuration " + version + " is confirmed: " + configuration);
    }

    static ObjectNode route(String name, String type, String service, int attempts, long timeoutMillis) {
        return Store.JSON.createObjectNode()
                .put("name", name)
                .put("hostname", HOST_NAME)
                .put("prefix", "/" + name + "/")
                .put("route_type", type)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", timeoutMillis / 2)
                .put("priority", 1)
                .put("backend", service)
                .put("max_attempts", attempts);
    }

    static ObjectNode limits() {
        return Store.JSON.createObjectNode()
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 4_194_304)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
    }

    private static String fill(String template, JsonNode values) {
        Matcher matcher = Pattern.compile("\\{\\{([a-zA-Z0-9_.]+)(\\|json)?}}").matcher(template);
        StringBuilder filled = new StringBuilder();
        while (matcher.find()) {
            JsonNode value = values;
            for (String part : matcher.group(1).split("\\.")) {
                value = value.isArray() ? value.path(Integer.parseInt(part)) : value.path(part);
            }
            String text = matcher.group(2) != null || value.isContainerNode() ? value.toString() : value.asText();
            matcher.appendReplacement(filled, Matcher.quoteReplacement(text));
        }
        return matcher.appendTail(filled).toString();
    }

    private void killAll() {
        for (Gateway gateway : gateways.values()) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        if (System.getenv("KEEP") != null) {
            System.err.println("logs in " + temporary);
        } else {
            try (var files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        }
        record.close();
    }
}
