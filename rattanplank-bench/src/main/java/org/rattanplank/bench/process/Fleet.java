package org.rattanplank.bench.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.cli.Console;
import org.rattanplank.cli.ExitCode;
import org.rattanplank.cli.Main;
import org.rattanplank.standins.demo.EnlistHosts;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.platform.HostsClient;

/**
 * A deployment in separate processes, joined by relays: the platform, one process of targets for each data centre and
 * the entry hosts.
 *
 * <p>Each data centre has its own view of the platform's list of hosts, with relays to the hosts of the others, so that
 * any two data centres can be cut from each other. Invariant: closing it ends every process that it started. Not thread
 * safe but for the ledger and the statuses: confined to the thread that runs it.
 */
public final class Fleet implements AutoCloseable {
    private static final String PLATFORM = "org.rattanplank.standins.platform.Platform";
    private static final String TARGETS = "org.rattanplank.standins.target.Targets";
    private static final long READY_MILLIS = 60_000;

    private final FleetOptions options;
    private final Workspace workspace = Workspace.create();
    private final EventLoop loop = EventLoop.of();
    private final Http http = new Http();
    private final Links links = new Links(loop);
    private final List<Child> children = new ArrayList<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Child> targetProcesses = new LinkedHashMap<>();
    private final Map<String, String> controls = new LinkedHashMap<>();
    private String platform = "";

    private Fleet(FleetOptions options) {
        this.options = options;
    }

    /**
     * Starts a fleet, applies its folder of intents and waits until every host serves.
     *
     * @param options what to start
     * @return the fleet
     */
    public static Fleet start(FleetOptions options) {
        Fleet fleet = new Fleet(options);
        try {
            fleet.start();
            return fleet;
        } catch (RuntimeException e) {
            fleet.printLogs();
            fleet.close();
            throw e;
        }
    }

    /**
     * The deployment that runs.
     *
     * @return the deployment
     */
    public Deployment deployment() {
        return options.deployment();
    }

    /**
     * Finds an entry host.
     *
     * @param name its name
     * @return the host
     */
    public Host host(String name) {
        return Option.of(hosts.get(name)).get();
    }

    /**
     * All entry hosts.
     *
     * @return the hosts
     */
    public List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /**
     * The entry hosts of a data centre.
     *
     * @param dataCentre the data centre
     * @return the hosts
     */
    public List<Host> hostsOf(String dataCentre) {
        return hosts.values().stream()
                .filter(host -> host.site().dataCentre().equals(dataCentre))
                .toList();
    }

    /**
     * The relays.
     *
     * @return the relays
     */
    public Links links() {
        return links;
    }

    /**
     * The process that holds a data centre's targets.
     *
     * @param dataCentre the data centre
     * @return the process
     */
    public Child targetProcess(String dataCentre) {
        return Option.of(targetProcesses.get(dataCentre)).get();
    }

    /**
     * Plans faults of the targets of a data centre.
     *
     * @param dataCentre the data centre
     * @param faults what {@code POST /faults} takes
     */
    public void planTargetFaults(String dataCentre, ObjectNode faults) {
        http.post(controls.get(dataCentre), "/faults", Json.write(faults));
    }

    /**
     * Changes the faults of the platform.
     *
     * @param faults what {@code POST /faults} takes
     */
    public void platformFaults(ObjectNode faults) {
        http.post(platform, "/faults", Json.write(faults));
    }

    /**
     * Reads what truly ran.
     *
     * @return all runs at all targets
     */
    public List<LedgerRun> ledger() {
        List<LedgerRun> runs = new ArrayList<>();
        for (String control : controls.values()) {
            try {
                http.get(control, "/ledger").path("runs").forEach(run -> runs.add(LedgerRun.of(run)));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return runs;
    }

    /**
     * Asks an entry host for its status.
     *
     * @param host the host
     * @return the status, or none if it gives no answer
     */
    public Option<JsonNode> status(Host host) {
        return Try.of(() -> http.get(host.operators(), "/status")).toOption();
    }

    /**
     * Asks an entry host to stop gracefully.
     *
     * @param host the host
     */
    public void drain(Host host) {
        http.post(host.operators(), "/drain", "");
    }

    /**
     * Waits until every entry host that runs has a configuration and holds a claim view.
     *
     * @param boundMillis how long to wait at most
     */
    public void awaitServing(long boundMillis) {
        Poll.until("every entry host serves and is in a view", boundMillis, () -> hosts.values().stream()
                .filter(host -> host.child().isAlive())
                .allMatch(this::isServing));
    }

    /** Prints the end of what the processes wrote about their trouble. */
    public void printLogs() {
        workspace.printLogs();
    }

    @Override
    public void close() {
        hosts.values().forEach(host -> host.child().close());
        children.forEach(Child::close);
        loop.close();
        workspace.close();
    }

    private boolean isServing(Host host) {
        return status(host)
                .filter(status -> status.path("generation").asLong() > 0)
                .filter(status -> status.path("viewNumber").asLong() > 0)
                .isDefined();
    }

    private void start() {
        Child process = child("platform", "platform ready", PLATFORM, List.of());
        platform = process.awaitReady().get("address");
        startTargets();
        startHosts();
        enlist();
        apply();
        awaitServing(READY_MILLIS);
    }

    private void startTargets() {
        for (Site site : deployment().sites()) {
            List<String> args = new ArrayList<>(List.of("--region", site.region(), "--data-centre", site.dataCentre()));
            args.addAll(List.of("--model", deployment().modelService() + ":" + site.models()));
            args.addAll(List.of("--plain", deployment().plainService() + ":" + site.plains()));
            args.addAll(options.targetSettings());
            String name = "targets-" + site.dataCentre();
            targetProcesses.put(site.dataCentre(), child(name, "targets ready", TARGETS, args));
        }
        targetProcesses.forEach((dataCentre, process) ->
                controls.put(dataCentre, process.awaitReady().get("control")));
    }

    private void startHosts() {
        for (Site site : deployment().sites()) {
            String link = links.toPlatform(site.dataCentre(), platform);
            List<String> settings = new ArrayList<>();
            settings.addAll(List.of("--hosts-url", "http://" + link + "/views/" + site.dataCentre()));
            settings.addAll(List.of("--store-url", "http://" + link));
            settings.addAll(List.of("--policy", deployment().policy()));
            settings.addAll(options.hostSettings());
            for (String name : site.hosts()) {
                hosts.put(name, Host.start(name, site, workspace.log(name), settings));
            }
        }
        hosts.values().forEach(Host::awaitReady);
    }

    /** Tells each data centre its own addresses of all hosts and targets. */
    private void enlist() {
        for (Site from : deployment().sites()) {
            HostsClient view = HostsClient.of(platform + "/views/" + from.dataCentre());
            hosts.values().forEach(host -> view.put(host.name(), entry(from, host)));
            for (Site to : deployment().sites()) {
                enlistTargets(view, from, to);
            }
        }
    }

    private ObjectNode entry(Site from, Host host) {
        Site to = host.site();
        String peers = to.equals(from)
                ? host.peers()
                : links.toHost(from.dataCentre(), to.dataCentre(), host.name(), host.peers());
        return EnlistHosts.entry(to.region(), to.dataCentre(), host.callers(), peers);
    }

    private void enlistTargets(HostsClient view, Site from, Site to) {
        for (String line : targetProcess(to.dataCentre()).lines()) {
            if (line.startsWith("target ready")) {
                Map<String, String> target = Child.words(line);
                String name = target.get("name");
                String address = to.equals(from)
                        ? links.toTarget(to.dataCentre(), name, target.get("address"))
                        : target.get("address");
                view.put(name, target(to, target.get("service"), address));
            }
        }
    }

    private static ObjectNode target(Site site, String service, String address) {
        int colon = address.lastIndexOf(':');
        return Json.object()
                .put("role", "target")
                .put("region", site.region())
                .put("dataCentre", site.dataCentre())
                .put("address", address.substring(0, colon))
                .put("port", Integer.parseInt(address.substring(colon + 1)))
                .put("peerPort", 0)
                .put("service", service)
                .put("leaving", false);
    }

    private void apply() {
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(said, true);
        String operators = hosts.values().stream().map(Host::operators).collect(Collectors.joining(","));
        String intents = workspace.intents(options).toString();
        Console console = new Console(stream, stream, Map.of());
        ExitCode code = Main.run(console, "apply", "--store", platform, "--operators", operators, "--wait", intents);
        if (code != ExitCode.DONE) {
            throw new IllegalStateException("the folder was not applied: " + said);
        }
    }

    private Child child(String name, String ready, String mainClass, List<String> args) {
        Child child = Child.start(name, ready, workspace.log(name), mainClass, args);
        children.add(child);
        return child;
    }
}
