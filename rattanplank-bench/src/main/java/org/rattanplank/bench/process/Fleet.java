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
 * Runs a deployment in separate processes that are connected through relays: the platform, one process for the targets
 * of each data centre, and the entry hosts.
 *
 * <p>Each data centre has its own view of the platform's host list, with relays to the hosts of the other data centres,
 * so that any two data centres can be partitioned from each other. Invariant: closing the fleet terminates every
 * process that it started. Not thread safe except for the ledger and the statuses: confined to the thread that runs it.
 */
public final class Fleet implements AutoCloseable {
    private static final String PLATFORM_MAIN_CLASS = "org.rattanplank.standins.platform.Platform";
    private static final String TARGETS_MAIN_CLASS = "org.rattanplank.standins.target.Targets";
    private static final long SERVING_TIMEOUT_MILLIS = 60_000;

    private final FleetOptions options;
    private final Workspace workspace = Workspace.create();
    private final EventLoop loop = EventLoop.of();
    private final Http http = new Http();
    private final Links links = new Links(loop);
    private final List<ChildProcess> children = new ArrayList<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, ChildProcess> targetProcesses = new LinkedHashMap<>();
    private final Map<String, String> targetControlAddresses = new LinkedHashMap<>();
    private String platformAddress = "";

    private Fleet(FleetOptions options) {
        this.options = options;
    }

    /**
     * Starts a fleet, applies its folder of intents and waits until every entry host is serving.
     *
     * @param options the options of the fleet
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
     * Returns the running deployment.
     *
     * @return the deployment
     */
    public Deployment deployment() {
        return options.deployment();
    }

    /**
     * Returns the entry host with the given name.
     *
     * @param name the name
     * @return the host
     */
    public Host host(String name) {
        return Option.of(hosts.get(name)).get();
    }

    /**
     * Returns all entry hosts.
     *
     * @return the hosts
     */
    public List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /**
     * Returns the entry hosts of a data centre.
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
     * Returns the relays between the processes.
     *
     * @return the relays
     */
    public Links links() {
        return links;
    }

    /**
     * Returns the process that runs a data centre's targets.
     *
     * @param dataCentre the data centre
     * @return the process
     */
    public ChildProcess targetProcess(String dataCentre) {
        return Option.of(targetProcesses.get(dataCentre)).get();
    }

    /**
     * Configures faults of the targets of a data centre.
     *
     * @param dataCentre the data centre
     * @param faults the body of {@code POST /faults}
     */
    public void configureTargetFaults(String dataCentre, ObjectNode faults) {
        http.post(targetControlAddresses.get(dataCentre), "/faults", Json.write(faults));
    }

    /**
     * Sets the faults of the platform.
     *
     * @param faults the body of {@code POST /faults}
     */
    public void setPlatformFaults(ObjectNode faults) {
        http.post(platformAddress, "/faults", Json.write(faults));
    }

    /**
     * Reads the ledgers of all targets, which record the requests that were executed.
     *
     * @return all runs at all targets
     */
    public List<LedgerRun> ledger() {
        List<LedgerRun> runs = new ArrayList<>();
        for (String control : targetControlAddresses.values()) {
            try {
                http.get(control, "/ledger").path("runs").forEach(run -> runs.add(LedgerRun.of(run)));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return runs;
    }

    /**
     * Requests the status of an entry host.
     *
     * @param host the host
     * @return the status, or none if the host does not respond
     */
    public Option<JsonNode> status(Host host) {
        return Try.of(() -> http.get(host.operatorsAddress(), "/status")).toOption();
    }

    /**
     * Requests a graceful stop of an entry host.
     *
     * @param host the host
     */
    public void drain(Host host) {
        http.post(host.operatorsAddress(), "/drain", "");
    }

    /**
     * Waits until every running entry host has a configuration and a claim view.
     *
     * @param timeoutMillis the longest wait
     */
    public void awaitServing(long timeoutMillis) {
        Poll.until(
                "every running entry host has a configuration and a claim view",
                timeoutMillis,
                () -> hosts.values().stream()
                        .filter(host -> host.process().isAlive())
                        .allMatch(this::isServing));
    }

    /** Prints the last lines of the logs of all processes. */
    public void printLogs() {
        workspace.printLogs();
    }

    @Override
    public void close() {
        hosts.values().forEach(host -> host.process().close());
        children.forEach(ChildProcess::close);
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
        ChildProcess process = startChild("platform", "platform ready", PLATFORM_MAIN_CLASS, List.of());
        platformAddress = process.awaitReady().get("address");
        startTargets();
        startHosts();
        registerAll();
        applyIntents();
        awaitServing(SERVING_TIMEOUT_MILLIS);
    }

    private void startTargets() {
        for (Site site : deployment().sites()) {
            List<String> args = new ArrayList<>(List.of("--region", site.region(), "--data-centre", site.dataCentre()));
            args.addAll(List.of("--model", deployment().modelService() + ":" + site.modelTargets()));
            args.addAll(List.of("--plain", deployment().plainService() + ":" + site.plainTargets()));
            args.addAll(options.targetSettings());
            String name = "targets-" + site.dataCentre();
            targetProcesses.put(site.dataCentre(), startChild(name, "targets ready", TARGETS_MAIN_CLASS, args));
        }
        targetProcesses.forEach((dataCentre, process) ->
                targetControlAddresses.put(dataCentre, process.awaitReady().get("control")));
    }

    private void startHosts() {
        for (Site site : deployment().sites()) {
            String platformLink = links.toPlatform(site.dataCentre(), platformAddress);
            List<String> settings = new ArrayList<>();
            settings.addAll(List.of("--hosts-url", "http://" + platformLink + "/views/" + site.dataCentre()));
            settings.addAll(List.of("--store-url", "http://" + platformLink));
            settings.addAll(List.of("--policy", deployment().policy()));
            settings.addAll(options.hostSettings());
            for (String name : site.hosts()) {
                hosts.put(name, Host.start(name, site, workspace.log(name), settings));
            }
        }
        hosts.values().forEach(Host::awaitReady);
    }

    /** Registers all hosts and targets in each data centre's view, with the addresses as seen from there. */
    private void registerAll() {
        for (Site from : deployment().sites()) {
            HostsClient view = HostsClient.of(platformAddress + "/views/" + from.dataCentre());
            hosts.values().forEach(host -> view.put(host.name(), hostEntry(from, host)));
            for (Site to : deployment().sites()) {
                registerTargets(view, from, to);
            }
        }
    }

    private ObjectNode hostEntry(Site from, Host host) {
        Site to = host.site();
        String peers = to.equals(from)
                ? host.peersAddress()
                : links.toHost(from.dataCentre(), to.dataCentre(), host.name(), host.peersAddress());
        return EnlistHosts.hostListEntry(to.region(), to.dataCentre(), host.callersAddress(), peers);
    }

    private void registerTargets(HostsClient view, Site from, Site to) {
        for (String line : targetProcess(to.dataCentre()).lines()) {
            if (line.startsWith("target ready")) {
                Map<String, String> target = ChildProcess.parseFields(line);
                String name = target.get("name");
                String address = to.equals(from)
                        ? links.toTarget(to.dataCentre(), name, target.get("address"))
                        : target.get("address");
                view.put(name, targetEntry(to, target.get("service"), address));
            }
        }
    }

    private static ObjectNode targetEntry(Site site, String service, String address) {
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

    private void applyIntents() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true);
        String operators = hosts.values().stream().map(Host::operatorsAddress).collect(Collectors.joining(","));
        String intents = workspace.intents(options).toString();
        Console console = new Console(stream, stream, Map.of());
        ExitCode code =
                Main.run(console, "apply", "--store", platformAddress, "--operators", operators, "--wait", intents);
        if (code != ExitCode.DONE) {
            throw new IllegalStateException("the intents folder was not applied: " + output);
        }
    }

    private ChildProcess startChild(String name, String readyPrefix, String mainClass, List<String> args) {
        ChildProcess child = ChildProcess.start(name, readyPrefix, workspace.log(name), mainClass, args);
        children.add(child);
        return child;
    }
}
