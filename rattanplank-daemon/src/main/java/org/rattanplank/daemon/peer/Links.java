package org.rattanplank.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.rattanplank.core.Event;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.IoResources;
import org.rattanplank.schema.message.Hello;
import org.rattanplank.schema.message.PeerMessage;
import org.rattanplank.schema.message.RequestMessage;

/**
 * Manages the links that this host opens to other entry hosts.
 *
 * <p>Invariant: there is at most one link for each other host. Thread safe: the table is a concurrent map, and each
 * link is confined to one event loop.
 */
public final class Links implements LinkListener {
    private final IoResources resources;
    private final LinkContext context;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final ForwardedAttempts forwardedAttempts;

    /**
     * Creates an empty table of links.
     *
     * @param self the hello that identifies this host
     * @param resources the resources shared with other components
     * @param directory resolves the addresses of hosts
     * @param times the timeouts and intervals of links
     * @param sizes the size limits of links
     * @param traffic counts the messages and bytes of links
     * @param maxResponseBytes the largest buffered response of a forwarded request
     */
    public Links(
            Hello self,
            IoResources resources,
            Directory directory,
            PeerTimes times,
            PeerSizes sizes,
            TrafficCounter traffic,
            int maxResponseBytes) {
        this.resources = resources;
        context = new LinkContext(self, directory, resources.clock(), times, sizes, traffic, this);
        forwardedAttempts = new ForwardedAttempts(resources, this, maxResponseBytes);
    }

    /**
     * Returns the attempts that are forwarded over these links.
     *
     * @return the forwarded attempts
     */
    public ForwardedAttempts forwardedAttempts() {
        return forwardedAttempts;
    }

    /**
     * Keeps links to these hosts open, redialling them when they break; links to other hosts are closed when idle.
     *
     * @param hosts the hosts
     */
    public void setPersistentHosts(List<String> hosts) {
        Set<String> persistentHosts = Set.copyOf(hosts);
        links.forEach((host, link) -> {
            if (!persistentHosts.contains(host)) {
                link.setPersistent(false);
            }
        });
        persistentHosts.forEach(host -> link(host).setPersistent(true));
    }

    /**
     * Sends a message without delivery guarantee.
     *
     * @param host the other host
     * @param message the message
     */
    public void send(String host, PeerMessage message) {
        send(host, message, SendListener.IGNORE);
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
                .eventSink()
                .raise(new Event.PeerConnected(hello.host(), hello.incarnation(), hello.region(), hello.dataCentre()));
    }

    @Override
    public void disconnected(String host, boolean connectionRefused) {
        forwardedAttempts.linkDisconnected(host);
        resources.eventSink().raise(new Event.PeerLost(host, connectionRefused));
    }

    @Override
    public void responseReceived(String host, RequestMessage message) {
        forwardedAttempts.responseReceived(host, message);
    }

    private Link link(String host) {
        return links.computeIfAbsent(
                host, name -> new Link(name, resources.loops().next(), context));
    }
}
