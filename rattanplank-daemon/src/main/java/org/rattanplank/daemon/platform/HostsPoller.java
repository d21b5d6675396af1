package org.rattanplank.daemon.platform;

import java.net.URI;
import java.util.concurrent.atomic.AtomicBoolean;

import org.rattanplank.core.Event;
import org.rattanplank.core.host.HostList;
import org.rattanplank.daemon.http.WebCall;
import org.rattanplank.daemon.http.WebClient;
import org.rattanplank.daemon.http.WebReply;
import org.rattanplank.daemon.runtime.Events;
import org.tinylog.Logger;

/**
 * Reads the platform's list of hosts.
 *
 * <p>Invariant: the directory knows a list before the core does, so that each name in an action has an address. Thread
 * safe.
 */
public final class HostsPoller {
    private final WebClient client;
    private final URI uri;
    private final long timeoutMillis;
    private final Directory directory;
    private final Events events;
    private final AtomicBoolean asked = new AtomicBoolean();
    private volatile boolean missed;

    private HostsPoller(WebClient client, URI uri, long timeoutMillis, Directory directory, Events events) {
        this.client = client;
        this.uri = uri;
        this.timeoutMillis = timeoutMillis;
        this.directory = directory;
        this.events = events;
    }

    /**
     * Makes a poller.
     *
     * @param client the client
     * @param baseUrl the base address of the list
     * @param timeoutMillis when a read is given up
     * @param directory what learns the list first
     * @param events what learns it then
     * @return the poller
     */
    public static HostsPoller of(
            WebClient client, String baseUrl, long timeoutMillis, Directory directory, Events events) {
        return new HostsPoller(client, URI.create(baseUrl + "/hosts"), timeoutMillis, directory, events);
    }

    /** Reads the list once. */
    public void poll() {
        if (asked.compareAndSet(false, true)) {
            client.send(WebCall.get(uri, timeoutMillis))
                    .whenComplete((reply, error) -> asked.set(false))
                    .thenAccept(this::take);
        }
    }

    private void take(WebReply reply) {
        boolean read = reply.successBody()
                .flatMap(body -> HostListJson.read(body).toOption())
                .peek(this::learn)
                .isDefined();
        if (!read && !missed) {
            Logger.warn("platform: the list of hosts cannot be read; the last one stays in use");
        }
        missed = !read;
    }

    private void learn(HostList list) {
        directory.learn(list);
        events.raise(new Event.HostsListed(list));
    }
}
