package org.rattanplank.bench.gateway;

import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import org.rattanplank.core.account.AllowanceBounds;
import org.rattanplank.core.gateway.Mechanisms;
import org.rattanplank.core.host.Location;
import org.rattanplank.gateway.Gateway;
import org.rattanplank.gateway.GatewaySettings;
import org.rattanplank.gateway.SharedLimits;
import org.rattanplank.gateway.log.EventLog;
import org.rattanplank.platform.PlatformNames;
import org.rattanplank.platform.PlatformStore;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.platform.SiteStore;
import org.rattanplank.standins.site.SiteConfigurations;
import org.rattanplank.standins.site.SiteReplica;
import org.rattanplank.standins.site.SiteStoreClient;

/**
 * Runs gateways of three regions in this process, with a stand-in store and stand-in replicas.
 *
 * <p>Invariant: closing it stops everything that it started. Confined to one thread.
 */
final class GatewayFleet implements AutoCloseable {
    private static final List<String> REGIONS = List.of("suva", "lautoka", "labasa");
    private static final int FIRST_PORT = 18_500;
    private static final int PORTS_PER_HOST = 6;
    private static final int OCTET_VALUES = 250;
    private static final long LINK_BYTES_PER_MILLI = 125_000;
    private static final SharedLimits LIMITS =
            new SharedLimits(8_000, 0.2, 160, 10_000, 1, 1_000, AllowanceBounds.EXACT);

    private final EventLoop loop = EventLoop.of();
    private final List<EventLoopGroup> groups = new ArrayList<>();
    private final List<InetSocketAddress> callerAddresses = new ArrayList<>();
    private final InetSocketAddress store;
    private int targets;

    private GatewayFleet() {
        store = SiteStore.of(loop).serve(0);
    }

    static GatewayFleet start(int hosts, double targetsPerHost) {
        GatewayFleet fleet = new GatewayFleet();
        SiteStoreClient operator = SiteStoreClient.of(Addresses.format(fleet.store));
        operator.configure(SiteConfigurations.of(1));
        for (int i = 0; i < Math.max(2 * REGIONS.size(), Math.round(hosts * targetsPerHost)); i++) {
            fleet.registerTarget(operator, i);
        }
        for (int i = 0; i < hosts; i++) {
            fleet.startHost(i);
        }
        return fleet;
    }

    List<InetSocketAddress> callerAddresses() {
        return List.copyOf(callerAddresses);
    }

    int targets() {
        return targets;
    }

    /** Returns the total processor time of the event loops of all gateways. */
    long cpuNanos() {
        long sum = 0;
        for (EventLoopGroup group : groups) {
            SingleThreadEventExecutor executor = (SingleThreadEventExecutor) group.next();
            sum += ManagementFactory.getThreadMXBean()
                    .getThreadCpuTime(executor.threadProperties().id());
        }
        return sum;
    }

    @Override
    public void close() {
        groups.forEach(group -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        groups.forEach(group -> group.terminationFuture().syncUninterruptibly());
        loop.close();
    }

    private void registerTarget(SiteStoreClient operator, int number) {
        String region = REGIONS.get(number % REGIONS.size());
        boolean streams = number / REGIONS.size() % 2 == 0;
        String id = (streams ? "w-" : "d-") + number;
        InetSocketAddress address = SiteReplica.serve(loop, id, streams, request -> {});
        String service = streams ? SiteConfigurations.WRITER_SERVICE : SiteConfigurations.DESK_SERVICE;
        operator.registerTarget(id, service, Addresses.format(address), region + "-hall");
        targets++;
    }

    private void startHost(int number) {
        String region = REGIONS.get(number % REGIONS.size());
        Map<String, String> regionByDataCentre = new HashMap<>();
        REGIONS.forEach(each -> regionByDataCentre.put(each + "-hall", each));
        GatewaySettings settings = new GatewaySettings(
                "h" + number,
                Location.of(region, region + "-hall"),
                regionByDataCentre,
                address(number, 0),
                address(number, 1),
                address(number, 2),
                address(number, 3),
                address(number, 4),
                store,
                LINK_BYTES_PER_MILLI,
                LIMITS,
                Mechanisms.ALL);
        EventLoopGroup group = new NioEventLoopGroup(1);
        groups.add(group);
        callerAddresses.add(settings.callers());
        EventLog log = EventLog.start(settings.name(), OutputStream.nullOutputStream(), System::nanoTime);
        Gateway.of(settings, PlatformNames.formats(), group, PlatformStore.of(group, store), log, number + 1)
                .start();
    }

    /** Returns a loopback address derived from the process id, so that two runs on one host do not compete for ports. */
    private static InetSocketAddress address(int number, int port) {
        long pid = ProcessHandle.current().pid();
        String ip = "127." + (1 + pid / OCTET_VALUES % OCTET_VALUES) + "." + (1 + pid % OCTET_VALUES) + ".1";
        return new InetSocketAddress(ip, FIRST_PORT + PORTS_PER_HOST * number + port);
    }
}
