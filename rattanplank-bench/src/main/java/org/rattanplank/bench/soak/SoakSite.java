package org.rattanplank.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.rattanplank.bench.process.Child;
import org.rattanplank.platform.PlatformMain;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.link.Link;
import org.rattanplank.standins.platform.SiteStore;
import org.rattanplank.standins.site.SiteConfigurations;
import org.rattanplank.standins.site.SiteHost;
import org.rattanplank.standins.site.SiteReplica;
import org.rattanplank.standins.site.SiteSettings;
import org.rattanplank.standins.site.SiteStoreClient;

/**
 * A small installation: the store and the replicas in this process, each gateway in one of its own, and relays between
 * them that can be harmed.
 *
 * <p>Invariant: closing it ends every process that it started. Not thread safe but for the runs: confined to the soak's
 * thread.
 */
final class SoakSite implements AutoCloseable {
    static final List<String> REGIONS = List.of("suva", "labasa");
    private static final int HOSTS_A_REGION = 2;
    private static final int REPLICAS_A_REGION = 2;
    private static final int PORT = 17_400;
    private static final int BYTE_VALUES = 250;

    private final EventLoop loop = EventLoop.of();
    private final SiteStore store = SiteStore.of(loop);
    private final SiteStoreClient operator;
    private final InetSocketAddress storeAddress;
    private final Path folder;
    private final Path template;
    private final Map<String, Child> hosts = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> callers = new LinkedHashMap<>();
    private final Map<String, Link> storeLinks = new LinkedHashMap<>();
    private final Map<String, Link> replicaLinks = new LinkedHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private int replicas;
    private long version;

    SoakSite(Path folder, Path template) {
        this.folder = folder;
        this.template = template;
        storeAddress = store.serve(0);
        operator = SiteStoreClient.of(Addresses.write(storeAddress));
        for (String region : REGIONS) {
            for (int i = 0; i < REPLICAS_A_REGION; i++) {
                addReplica(region, true);
                addReplica(region, false);
            }
        }
        configure();
        int number = 0;
        for (String region : REGIONS) {
            for (int i = 0; i < HOSTS_A_REGION; i++) {
                number++;
                String name = region + "-" + (i + 1);
                storeLinks.put(name, Link.open(loop, storeAddress));
                writeSettings(name, region, number);
                startHost(name);
            }
        }
        hosts.values().forEach(Child::awaitReady);
    }

    Map<String, Integer> runs() {
        return runs;
    }

    SiteStore store() {
        return store;
    }

    List<String> hosts() {
        return List.copyOf(hosts.keySet());
    }

    Child host(String name) {
        return hosts.get(name);
    }

    List<InetSocketAddress> callers() {
        return List.copyOf(callers.values());
    }

    Link storeLink(String host) {
        return storeLinks.get(host);
    }

    List<String> replicas() {
        return List.copyOf(replicaLinks.keySet());
    }

    Link replicaLink(String id) {
        return replicaLinks.get(id);
    }

    /** Starts a host that isn't running, under its own name and address. */
    void startHost(String name) {
        hosts.put(
                name,
                Child.start(
                        name,
                        "{\"event\":\"started\"",
                        folder.resolve(name + ".err").toFile(),
                        Map.of(
                                "RATTANPLANK_CONFIG",
                                folder.resolve(name + ".yaml").toString()),
                        PlatformMain.class.getName(),
                        List.of()));
    }

    /** Takes a replica out and enters another one like it. */
    void replaceReplica(String id) {
        operator.removeTarget(id);
        replicaLinks.remove(id);
        addReplica(id.split("-")[1], id.startsWith("w"));
    }

    /** Puts the next configuration in force. */
    void configure() {
        version++;
        operator.configure(SiteConfigurations.of(version));
    }

    @Override
    public void close() {
        hosts.values().forEach(Child::close);
        loop.close();
    }

    private void addReplica(String region, boolean streams) {
        replicas++;
        String id = (streams ? "w-" : "d-") + region + "-" + replicas;
        InetSocketAddress address =
                SiteReplica.serve(loop, id, streams, request -> runs.merge(request, 1, Integer::sum));
        Link link = Link.open(loop, address);
        replicaLinks.put(id, link);
        String service = streams ? SiteConfigurations.WRITER : SiteConfigurations.DESK;
        operator.enterTarget(id, service, link.address(), region + "-hall");
    }

    private void writeSettings(String name, String region, int number) {
        long pid = ProcessHandle.current().pid();
        // A loopback address of this run alone, so that two runs on one machine don't take each other's ports.
        String ip =
                "127." + (1 + pid / BYTE_VALUES % BYTE_VALUES) + "." + (1 + pid % BYTE_VALUES) + "." + (100 + number);
        callers.put(name, new InetSocketAddress(ip, PORT));
        SiteHost host = new SiteHost(
                name, region, REGIONS, ip, PORT, storeLinks.get(name).address());
        try {
            SiteSettings.write(template, folder.resolve(name + ".yaml"), host);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
