package org.rattanplank.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.host.RendezvousHashing;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.SocketAddresses;
import org.rattanplank.gateway.http.ByteCountHandler;
import org.rattanplank.gateway.http.ReadLimit;

/**
 * Manages the links to all other hosts.
 *
 * <p>Invariants: at most one link to each host is in use; of two hosts, the one with the smaller name opens it, and the
 * other does so if there has been none for a while, since the first may not know of it yet. Addresses are kept while the
 * store is unavailable, so that the others connect to a host that returns during the outage. Confined to the event loop.
 */
public final class PeerLinks {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Longer than a link over the longest network round trip takes to open, so that two hosts seldom open two links. */
    private static final long FALLBACK_CONNECT_MILLIS = 1_200;

    /** Two of the links to another region may be disconnected at once. */
    private static final int LINKS_PER_OTHER_REGION = 3;

    /** Interval between two attempts to connect to a host that does not respond. */
    private static final long RECONNECT_MILLIS = 500;

    /**
     * Interval between two checks of all hosts. Work is never sent over an unresponsive link, whether it is closed or not,
     * so the interval only delays closing and reopening it.
     */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** How long a retired connection stays open for calls of the other host that were in flight. */
    private static final long RETIRED_LINK_MILLIS = 15_000;

    /** How long a host that is neither registered nor reachable is kept. */
    private static final long HOST_EXPIRY_MILLIS = 60_000;

    private final GatewayHost self;
    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final PeerListener listener;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, KnownHost> hostsByName = new HashMap<>();
    private final Map<String, PeerLink> links = new LinkedHashMap<>();
    private final Map<PeerLink, Long> retired = new HashMap<>();
    private final Set<PeerLink> openLinks = new HashSet<>();
    private final LongSupplier inputReadUntilMillis;
    private Channel serverChannel;
    private long nextCheckMillis;

    /**
     * Creates links that don't listen yet.
     *
     * @param self this host
     * @param group the event loop
     * @param clock the clock
     * @param inputReadUntilMillis returns the time up to which all input has definitely been read
     * @param listener receives the events of the links
     */
    public PeerLinks(
            GatewayHost self,
            EventLoopGroup group,
            MonotonicClock clock,
            LongSupplier inputReadUntilMillis,
            PeerListener listener) {
        this.self = self;
        this.group = group;
        this.clock = clock;
        this.inputReadUntilMillis = inputReadUntilMillis;
        this.listener = listener;
    }

    /**
     * Listens for other hosts.
     *
     * @param address the address to listen at
     */
    public void listen(InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.HOST.allocator())
                .childHandler(initializer(false))
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Adds a host that is registered in the store.
     *
     * @param host the host
     */
    public void hostRegistered(GatewayHost host) {
        if (!host.name().equals(self.name())) {
            observed(host);
            hostsByName.get(host.name()).registered = true;
        }
    }

    private void observed(GatewayHost host) {
        KnownHost previous = hostsByName.get(host.name());
        if (previous == null || previous.host.incarnation() != host.incarnation()) {
            hostsByName.put(host.name(), new KnownHost(host, clock.nowMillis()));
            nextCheckMillis = 0;
        } else {
            previous.seenAtMillis = clock.nowMillis();
        }
    }

    /**
     * Marks a host as no longer registered; its address is kept for a while, since it may still be connected.
     *
     * @param name its name
     */
    public void hostRemoved(String name) {
        KnownHost host = hostsByName.get(name);
        if (host != null) {
            host.registered = false;
        }
    }

    /**
     * Returns the other hosts of this region that are registered in the store.
     *
     * @return their names
     */
    public Set<String> registeredInOwnRegion() {
        Set<String> names = new HashSet<>();
        for (KnownHost each : hostsByName.values()) {
            if (each.registered && isOwnRegion(each.host)) {
                names.add(each.host.name());
            }
        }
        return names;
    }

    /**
     * Returns whether this region has other hosts, connected or not.
     *
     * @return whether one was registered or connected recently
     */
    public boolean knowsOthersInOwnRegion() {
        return hostsByName.values().stream().anyMatch(each -> isOwnRegion(each.host));
    }

    /**
     * Returns the number of hosts, connected or not.
     *
     * @return the number of hosts that were registered or connected recently, including this one
     */
    public int knownHostCount() {
        return hostsByName.size() + 1;
    }

    /**
     * Returns the links to connected hosts.
     *
     * @return the links
     */
    public List<PeerLink> aliveLinks() {
        List<PeerLink> alive = new ArrayList<>();
        for (PeerLink link : links.values()) {
            if (link.isAlive()) {
                alive.add(link);
            }
        }
        return alive;
    }

    /**
     * Opens missing links and closes unresponsive ones. As it checks all hosts, it does nothing until a new host was
     * observed or {@link #CHECK_INTERVAL_MILLIS} have passed.
     */
    public void tick() {
        long now = clock.nowMillis();
        if (now < nextCheckMillis) {
            return;
        }
        nextCheckMillis = now + CHECK_INTERVAL_MILLIS;
        for (PeerLink link : List.copyOf(links.values())) {
            if (!link.isAlive()) {
                remove(link, link.lossCause(), "not within " + link.unresponsiveMillis() + " ms");
                link.close();
            }
        }
        closeRetired(now);
        Map<String, List<String>> chosenByRegion = new HashMap<>();
        for (KnownHost each : List.copyOf(hostsByName.values())) {
            String name = each.host.name();
            if (links.containsKey(name)) {
                each.seenAtMillis = now;
                each.disconnectedAtMillis = now;
            } else if (now - each.seenAtMillis > HOST_EXPIRY_MILLIS) {
                hostsByName.remove(name);
            } else if (now >= each.nextConnectMillis && shouldConnect(each, chosenByRegion, now)) {
                each.nextConnectMillis = now + RECONNECT_MILLIS;
                connect(each.host);
            }
        }
    }

    /**
     * Returns the number of bytes that were sent over all links and have not left this host.
     *
     * @return the bytes
     */
    public long pendingBytes() {
        return links.values().stream().mapToLong(PeerLink::pendingBytes).sum();
    }

    /**
     * Returns the number of pending bytes of the link that has the most of them.
     *
     * @return the bytes
     */
    public long maxPendingBytes() {
        return links.values().stream().mapToLong(PeerLink::pendingBytes).max().orElse(0);
    }

    /**
     * Returns the traffic counters of the links.
     *
     * @return the counters
     */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Stops accepting new links. */
    public void stopListening() {
        serverChannel.close();
    }

    /**
     * Closes all links gracefully that need not stay open.
     *
     * @param mustStayOpen returns whether a link has work, after its pending input was read
     */
    public void closeGracefully(Predicate<? super PeerLink> mustStayOpen) {
        for (PeerLink link : List.copyOf(openLinks)) {
            link.closeGracefully(mustStayOpen);
        }
    }

    /**
     * Returns whether all links are closed.
     *
     * @return whether none is open
     */
    public boolean areClosed() {
        return openLinks.isEmpty();
    }

    /** Returns the time up to which all input has definitely been read; links are checked for activity up to that time. */
    long inputReadUntilMillis() {
        return inputReadUntilMillis.getAsLong();
    }

    void linkOpened(PeerLink link) {
        openLinks.add(link);
    }

    GatewayHost self() {
        return self;
    }

    PeerListener listener() {
        return listener;
    }

    void helloReceived(PeerLink link) {
        GatewayHost host = link.host().get();
        if (host.name().equals(self.name())) {
            link.close();
            return;
        }
        observed(host);
        PeerLink previous = links.get(host.name());
        if (previous != null && previous != link && previous.isAlive() && !replaces(link, previous)) {
            retired.put(link, clock.nowMillis());
            return;
        }
        links.put(host.name(), link);
        if (previous != null && previous != link) {
            // Calls may still be in progress on the older one.
            retired.put(previous, clock.nowMillis());
        }
        listener.connected(link);
    }

    /**
     * Returns whether a connection is the one that both hosts use if there are two: the one that the host with the smaller
     * name opened. If each chose independently, each could send over a connection that the other doesn't use, take the
     * link for dead and reopen it endlessly. Symptom: hosts of other regions are disconnected and connected again every two
     * seconds.
     *
     * @param self this host's name
     * @param other the other host's name
     * @param outgoing whether this host opened the connection
     * @return whether it is the connection to use
     */
    static boolean isPreferred(String self, String other, boolean outgoing) {
        return outgoing == self.compareTo(other) < 0;
    }

    private boolean replaces(PeerLink link, PeerLink previous) {
        GatewayHost host = link.host().get();
        boolean restarted = previous.host().get().incarnation() != host.incarnation();
        return restarted
                || isPreferred(self.name(), host.name(), link.isOutgoing())
                || !isPreferred(self.name(), host.name(), previous.isOutgoing());
    }

    void linkClosed(PeerLink link) {
        openLinks.remove(link);
        retired.remove(link);
        remove(link, link.lossCause(), "");
    }

    void linkFailed(PeerLink link, Throwable cause) {
        remove(link, DisconnectCause.FAILED, String.valueOf(cause));
    }

    void frameUnreadable(PeerLink link, Throwable cause) {
        remove(link, DisconnectCause.UNREADABLE, String.valueOf(cause));
        link.close();
    }

    private void closeRetired(long nowMillis) {
        for (Map.Entry<PeerLink, Long> each : List.copyOf(retired.entrySet())) {
            if (each.getKey().isIdle() && nowMillis - each.getValue() > RETIRED_LINK_MILLIS) {
                retired.remove(each.getKey());
                each.getKey().close();
            }
        }
    }

    private boolean shouldConnect(KnownHost each, Map<String, List<String>> chosenByRegion, long nowMillis) {
        String region = each.host.location().region();
        if (!isOwnRegion(each.host)
                && !chosenByRegion.computeIfAbsent(region, this::chooseHosts).contains(each.host.name())) {
            return false;
        }
        return self.name().compareTo(each.host.name()) < 0
                || nowMillis - each.disconnectedAtMillis > FALLBACK_CONNECT_MILLIS;
    }

    /**
     * Returns the hosts of another region to which this one opens links. A few suffice to send work there and to receive
     * its load; links to all would cost each host time for every other one in the system.
     */
    private List<String> chooseHosts(String region) {
        List<String> names = hostsByName.values().stream()
                .map(each -> each.host)
                .filter(host -> host.location().region().equals(region))
                .map(GatewayHost::name)
                .toList();
        return RendezvousHashing.rank(names, self.name()).stream()
                .limit(LINKS_PER_OTHER_REGION)
                .toList();
    }

    private boolean isOwnRegion(GatewayHost host) {
        return host.location().region().equals(self.location().region());
    }

    private void remove(PeerLink link, DisconnectCause cause, String detail) {
        String name = link.host().map(GatewayHost::name).getOrElse("");
        if (links.get(name) == link) {
            links.remove(name);
            listener.disconnected(link, cause, detail);
        }
    }

    private void connect(GatewayHost host) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadLimit.HOST.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(true))
                .connect(SocketAddresses.parse(host.peerAddress()));
    }

    private ChannelInitializer<SocketChannel> initializer(boolean outgoing) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PeerLink link = new PeerLink(PeerLinks.this, clock, outgoing);
                channel.pipeline()
                        // Bytes count as activity, not only frames: the frame of a large item can take longer than the
                        // limit for an unresponsive link. Otherwise the link would be closed and the item sent again
                        // for as long as the link is congested.
                        .addLast(new ByteCountHandler(link::bytesReceived))
                        .addLast(link.decoder())
                        .addLast(new LengthFieldPrepender(FrameDecoder.LENGTH_FIELD_BYTES))
                        .addLast(link);
            }
        };
    }

    private static final class KnownHost {
        private final GatewayHost host;
        private long seenAtMillis;
        private long disconnectedAtMillis;
        private long nextConnectMillis;
        private boolean registered;

        private KnownHost(GatewayHost host, long nowMillis) {
            this.host = host;
            seenAtMillis = nowMillis;
            disconnectedAtMillis = nowMillis;
        }
    }
}
