package org.rattanplank.bench.process;

import java.io.File;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An entry host: its process and the settings to restart it with the same addresses.
 *
 * <p>Invariant: the addresses do not change on a restart. Not thread safe: confined to the thread that runs the fleet.
 */
public final class Host {
    private static final String READY_PREFIX = "rattanplankd ready";

    private final String name;
    private final Site site;
    private final File log;
    private final List<String> settings;
    private ChildProcess process;
    private Map<String, String> addresses = Map.of();

    private Host(String name, Site site, File log, List<String> settings) {
        this.name = name;
        this.site = site;
        this.log = log;
        this.settings = settings;
        process = launch(List.of());
    }

    static Host start(String name, Site site, File log, List<String> settings) {
        return new Host(name, site, log, settings);
    }

    /**
     * Returns the host's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the data centre in which the host runs.
     *
     * @return the site
     */
    public Site site() {
        return site;
    }

    /**
     * Returns the host's process, which changes with a restart.
     *
     * @return the process
     */
    public ChildProcess process() {
        return process;
    }

    /**
     * Returns the address for callers.
     *
     * @return the address as IP:PORT
     */
    public String callersAddress() {
        return addresses.get("callers");
    }

    /**
     * Returns the address for other entry hosts.
     *
     * @return the address as IP:PORT
     */
    public String peersAddress() {
        return addresses.get("peers");
    }

    /**
     * Returns the address for operators.
     *
     * @return the address as IP:PORT
     */
    public String operatorsAddress() {
        return addresses.get("operators");
    }

    void awaitReady() {
        addresses = process.awaitReady();
    }

    /** Waits until the current process has terminated, then starts a new one and waits until it is ready. */
    public void restart() {
        process.awaitExit();
        process = launch(List.of(
                "--callers-port", port(callersAddress()),
                "--peers-port", port(peersAddress()),
                "--operators-port", port(operatorsAddress())));
        process.awaitReady();
    }

    private ChildProcess launch(List<String> ports) {
        List<String> args = new ArrayList<>(settings);
        args.addAll(List.of("--host", name, "--region", site.region(), "--data-centre", site.dataCentre()));
        args.addAll(ports);
        return ChildProcess.start(name, READY_PREFIX, log, "org.rattanplank.daemon.Rattanplankd", args);
    }

    private static String port(String address) {
        return address.substring(address.lastIndexOf(':') + 1);
    }
}
