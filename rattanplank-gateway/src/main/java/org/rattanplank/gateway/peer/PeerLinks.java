package org.rattanplank.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.host.Rendezvous;
import org.rattanplank.gateway.SteadyClock;
import org.rattanplank.gateway.http.ByteWatch;

/**
 * The links to all other hosts.
 *
 * <p>Invariants: at most one link to each host is used; of two hosts, the one with the smaller name opens it, and the
 * other does so if there has been none for a while, since the first may know nothing yet. Addresses are kept while the
 * store is out, so that a host which comes back then finds the others by being found. Confined to the event loop.
 */
public final class PeerLinks {
    private static final int LENGTH_BYTES = 4;

    /** A body of the largest size with its headers fits, and so does all that the store holds. */
    static final int MAX_FRAME_BYTES = 16 << 20;

    private static final int CONNECT_MILLIS = 1_000;

    /** Longer than a link over the longest way takes to open, so that two hosts seldom open two. */
    private static final long OTHER_OPENS_MILLIS = 1_200;

    /** Two may be lost at once. */
    private static final int LINKS_PER_OTHER_REGION = 3;

    /** Between two tries to reach a host that doesn't answer. */
    private static final long RETRY_MILLIS = 500;

    /**
     * Between two looks at all hosts. Work is never sent over a link that has gone silent, whether it is closed or not, so
     * this only delays its closing and opening anew.
     */
    private static final long LOOK_MILLIS = 250;

    /** A connection that is no longer used stays so long, for the other host's calls that were on their way. */
    private static final long RETIRED_MILLIS = 15_000;

    /** A host not entered and not reached for so long is no longer looked for. */
    private static final long FORGET_MILLIS = 60_000;

    private final GatewayHost self;
    private final EventLoopGroup group;
    private final SteadyClock clock;
    private final PeerListener listener;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, Known> known = new HashMap<>();
    private final Map<String, PeerLink> links = new LinkedHashMap<>();
    private final Map<PeerLink, Long> retired = new HashMap<>();
    private final Set<PeerLink> open = new HashSet<>();
    private final LongSupplier readUpTo;
    private Channel port;
    private long nextLookMillis;

    /**
     * Makes links that don't listen yet.
     *
     * @param self this host
     * @param group the event loop
     * @param clock the clock
     * @param readUpTo until when all that came was surely read
     * @param listener hears the links
     */
    public PeerLinks(
            GatewayHost self, EventLoopGroup group, SteadyClock clock, LongSupplier readUpTo, PeerListener listener) {
        this.self = self;
        this.group = group;
        this.clock = clock;
        this.readUpTo = readUpTo;
        this.listener = listener;
    }

    /**
     * Listens for other hosts.
     *
     * @param address where
     */
    public void listen(InetSocketAddress address) {
        port = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(false))
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Takes a host's entry.
     *
     * @param host the host
     */
    public void entered(GatewayHost host) {
        if (!host.name().equals(self.name())) {
            learned(host);
            known.get(host.name()).entered = true;
        }
    }

    private void learned(GatewayHost host) {
        Known before = known.get(host.name());
        if (before == null || before.host.incarnation() != host.incarnation()) {
            known.put(host.name(), new Known(host, clock.nowMillis()));
            nextLookMillis = 0;
        } else {
            before.seenAtMillis = clock.nowMillis();
        }
    }

    /**
     * Takes note that a host has no entry any more; its address is kept for a while, as it may be in touch all the same.
     *
     * @param name its name
     */
    public void removed(String name) {
        Known gone = known.get(name);
        if (gone != null) {
            gone.entered = false;
        }
    }

    /**
     * The other hosts of this region that are entered in the store.
     *
     * @return their names
     */
    public Set<String> enteredInOwnRegion() {
        Set<String> names = new HashSet<>();
        for (Known each : known.values()) {
            if (each.entered && isOwnRegion(each.host)) {
                names.add(each.host.name());
            }
        }
        return names;
    }

    /**
     * Tells whether this region has other hosts, in touch or not.
     *
     * @return whether one was entered or in touch of late
     */
    public boolean knowsOthersInOwnRegion() {
        return known.values().stream().anyMatch(each -> isOwnRegion(each.host));
    }

    /**
     * How many hosts there are, in touch or not.
     *
     * @return the number of hosts that were entered or in touch of late, this one included
     */
    public int knownHosts() {
        return known.size() + 1;
    }

    /**
     * The links to hosts in touch.
     *
     * @return the links
     */
    public List<PeerLink> alive() {
        List<PeerLink> alive = new ArrayList<>();
        for (PeerLink link : links.values()) {
            if (link.isAlive()) {
                alive.add(link);
            }
        }
        return alive;
    }

    /**
     * Opens links that are missing and closes those that have gone silent. It looks at all hosts, so it does nothing
     * until something was learnt or {@link #LOOK_MILLIS} have gone by.
     */
    public void tick() {
        long now = clock.nowMillis();
        if (now < nextLookMillis) {
            return;
        }
        nextLookMillis = now + LOOK_MILLIS;
        for (PeerLink link : List.copyOf(links.values())) {
            if (!link.isAlive()) {
                drop(link, "nothing came from it for " + link.silentMillis() + " ms");
                link.close();
            }
        }
        closeRetired(now);
        Map<String, List<String>> chosenByRegion = new HashMap<>();
        for (Known each : List.copyOf(known.values())) {
            String name = each.host.name();
            if (links.containsKey(name)) {
                each.seenAtMillis = now;
                each.lostAtMillis = now;
            } else if (now - each.seenAtMillis > FORGET_MILLIS) {
                known.remove(name);
            } else if (now >= each.nextTryMillis && mayOpen(each, chosenByRegion, now)) {
                each.nextTryMillis = now + RETRY_MILLIS;
                open(each.host);
            }
        }
    }

    /**
     * What was sent over all links and has not left this host.
     *
     * @return bytes
     */
    public long waitingBytes() {
        return links.values().stream().mapToLong(PeerLink::waitingBytes).sum();
    }

    /**
     * What was sent over the link on which most waits, and has not left this host.
     *
     * @return bytes
     */
    public long mostWaitingBytes() {
        return links.values().stream().mapToLong(PeerLink::waitingBytes).max().orElse(0);
    }

    /**
     * What is sent over the links.
     *
     * @return the count of bytes
     */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Takes no new links. */
    public void closePort() {
        port.close();
    }

    /**
     * Ends all links over which nothing comes any more.
     *
     * @param hasWork whether a call of another host is under way
     */
    public void end(BooleanSupplier hasWork) {
        for (PeerLink link : List.copyOf(open)) {
            link.end(hasWork);
        }
    }

    /**
     * Tells whether all links have ended.
     *
     * @return whether none is open
     */
    public boolean areEnded() {
        return open.isEmpty();
    }

    /** Until when all that came was surely read; a link's silence is counted to then. */
    long readUpToMillis() {
        return readUpTo.getAsLong();
    }

    void opened(PeerLink link) {
        open.add(link);
    }

    GatewayHost self() {
        return self;
    }

    PeerListener listener() {
        return listener;
    }

    void greeted(PeerLink link) {
        GatewayHost host = link.host().get();
        if (host.name().equals(self.name())) {
            link.close();
            return;
        }
        learned(host);
        PeerLink before = links.get(host.name());
        if (before != null && before != link && before.isAlive() && !replaces(link, before)) {
            retired.put(link, clock.nowMillis());
            return;
        }
        links.put(host.name(), link);
        if (before != null && before != link) {
            // Calls may still run over the older one.
            retired.put(before, clock.nowMillis());
        }
        listener.connected(link);
    }

    /**
     * Of two connections between two hosts, the one that both use: the one that the host with the smaller name opened.
     * If each chose by itself, each could send over a connection on which the other hears nothing, take the link for
     * dead and open it anew without end; one would see hosts of other regions come and go every two seconds.
     *
     * @param self this host's name
     * @param other the other host's name
     * @param outgoing whether this host opened the connection
     * @return whether it is the one
     */
    static boolean isPreferred(String self, String other, boolean outgoing) {
        return outgoing == self.compareTo(other) < 0;
    }

    private boolean replaces(PeerLink link, PeerLink before) {
        GatewayHost host = link.host().get();
        boolean restarted = before.host().get().incarnation() != host.incarnation();
        return restarted
                || isPreferred(self.name(), host.name(), link.isOutgoing())
                || !isPreferred(self.name(), host.name(), before.isOutgoing());
    }

    void closed(PeerLink link) {
        open.remove(link);
        retired.remove(link);
        drop(link, "the connection ended");
    }

    void unreadable(PeerLink link, Throwable cause) {
        drop(link, "a frame can't be read: " + cause);
        link.close();
    }

    private void closeRetired(long nowMillis) {
        for (Map.Entry<PeerLink, Long> each : List.copyOf(retired.entrySet())) {
            if (each.getKey().isUnused() && nowMillis - each.getValue() > RETIRED_MILLIS) {
                retired.remove(each.getKey());
                each.getKey().close();
            }
        }
    }

    private boolean mayOpen(Known each, Map<String, List<String>> chosenByRegion, long nowMillis) {
        String region = each.host.place().region();
        if (!isOwnRegion(each.host)
                && !chosenByRegion.computeIfAbsent(region, this::chosen).contains(each.host.name())) {
            return false;
        }
        return self.name().compareTo(each.host.name()) < 0 || nowMillis - each.lostAtMillis > OTHER_OPENS_MILLIS;
    }

    /**
     * The hosts of another region that this one opens links to. Links to all would cost each host time for every other
     * one in the system, with nothing to gain: a few suffice to send work there and to learn of its load.
     */
    private List<String> chosen(String region) {
        List<String> names = known.values().stream()
                .map(each -> each.host)
                .filter(host -> host.place().region().equals(region))
                .map(GatewayHost::name)
                .toList();
        return Rendezvous.rank(names, self.name()).stream()
                .limit(LINKS_PER_OTHER_REGION)
                .toList();
    }

    private boolean isOwnRegion(GatewayHost host) {
        return host.place().region().equals(self.place().region());
    }

    private void drop(PeerLink link, String reason) {
        String name = link.host().map(GatewayHost::name).getOrElse("");
        if (links.get(name) == link) {
            links.remove(name);
            listener.lost(link, reason);
        }
    }

    private void open(GatewayHost host) {
        int colon = host.peerAddress().lastIndexOf(':');
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(initializer(true))
                .connect(new InetSocketAddress(
                        host.peerAddress().substring(0, colon),
                        Integer.parseInt(host.peerAddress().substring(colon + 1))));
    }

    private ChannelInitializer<SocketChannel> initializer(boolean outgoing) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PeerLink link = new PeerLink(PeerLinks.this, clock, outgoing);
                channel.pipeline()
                        // A frame of a large item can take longer than a link may be silent; taken for dead, the link
                        // would be ended and the item sent anew, and so on while the link is crowded.
                        .addLast(new ByteWatch(link::bytesCame))
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(link);
            }
        };
    }

    private static final class Known {
        private final GatewayHost host;
        private long seenAtMillis;
        private long lostAtMillis;
        private long nextTryMillis;
        private boolean entered;

        private Known(GatewayHost host, long nowMillis) {
            this.host = host;
            seenAtMillis = nowMillis;
            lostAtMillis = nowMillis;
        }
    }
}
