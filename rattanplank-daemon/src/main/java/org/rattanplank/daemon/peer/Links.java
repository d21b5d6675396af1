package org.rattanplank.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.rattanplank.core.Event;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.Resources;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.RequestMessage;

/**
 * The links that this host dials.
 *
 * <p>Invariant: one link for each other host. Thread safe; the table has no lock of its own, and each link runs on one
 * event loop.
 */
public final class Links implements LinkListener {
    private final Resources resources;
    private final LinkContext context;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Forwards forwards;

    /**
     * Makes links to nobody.
     *
     * @param self how this host introduces itself
     * @param resources what it shares with other parts
     * @param directory knows the addresses
     * @param times the times of links
     * @param sizes the sizes of links
     * @param traffic counts what goes over links
     * @param maxAnswerBytes the largest whole answer of a forwarded request
     */
    public Links(
            Hello self,
            Resources resources,
            Directory directory,
            PeerTimes times,
            PeerSizes sizes,
            Traffic traffic,
            int maxAnswerBytes) {
        this.resources = resources;
        context = new LinkContext(self, directory, resources.clock(), times, sizes, traffic, this);
        forwards = new Forwards(resources, this, maxAnswerBytes);
    }

    /**
     * The attempts that go over these links.
     *
     * @return the forwarded attempts
     */
    public Forwards forwards() {
        return forwards;
    }

    /**
     * Keeps links to these hosts; links to others are closed when they are idle.
     *
     * @param hosts the hosts
     */
    public void keep(List<String> hosts) {
        Set<String> wanted = Set.copyOf(hosts);
        links.forEach((host, link) -> {
            if (!wanted.contains(host)) {
                link.keep(false);
            }
        });
        wanted.forEach(host -> link(host).keep(true));
    }

    /**
     * Sends a message that may be lost.
     *
     * @param host the other host
     * @param message the message
     */
    public void send(String host, PeerMessage message) {
        send(host, message, SendListener.NOBODY);
    }

    /** Closes all links. */
    public void close() {
        links.values().forEach(Link::close);
    }

    LinkContext context() {
        return context;
    }

    void send(String host, PeerMessage message, SendListener listener) {
        link(host).send(message, listener);
    }

    @Override
    public void connected(Hello hello) {
        resources
                .events()
                .raise(new Event.PeerConnected(hello.host(), hello.incarnation(), hello.region(), hello.dataCentre()));
    }

    @Override
    public void lost(String host, boolean refused) {
        forwards.lost(host);
        resources.events().raise(new Event.PeerLost(host, refused));
    }

    @Override
    public void answered(String host, RequestMessage message) {
        forwards.answered(host, message);
    }

    private Link link(String host) {
        return links.computeIfAbsent(
                host, name -> new Link(name, resources.loops().next(), context));
    }
}
