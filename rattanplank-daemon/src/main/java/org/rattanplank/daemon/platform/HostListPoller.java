package org.rattanplank.daemon.platform;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.rattanplank.core.Event;
import org.rattanplank.core.host.HostList;
import org.rattanplank.daemon.http.WebClient;
import org.rattanplank.daemon.http.WebRequest;
import org.rattanplank.daemon.http.WebResult;
import org.rattanplank.daemon.runtime.EventSink;
import org.tinylog.Logger;

/**
 * Polls the platform's host list.
 *
 * <p>Invariant: the directory is updated before the core, so that each name in an action has an address. Thread
 * safe.
 */
public final class HostListPoller {
    private final WebClient client;
    private final URI uri;
    private final long timeoutMillis;
    private final Directory directory;
    private final EventSink eventSink;
    private final AtomicBoolean pollInFlight = new AtomicBoolean();
    private volatile boolean lastPollFailed;
    private volatile int lastIgnored;

    private HostListPoller(WebClient client, URI uri, long timeoutMillis, Directory directory, EventSink eventSink) {
        this.client = client;
        this.uri = uri;
        this.timeoutMillis = timeoutMillis;
        this.directory = directory;
        this.eventSink = eventSink;
    }

    /**
     * Creates a poller.
     *
     * @param client the HTTP client
     * @param baseUrl the base URL of the platform
     * @param timeoutMillis timeout of one poll
     * @param directory the directory, which is updated first
     * @param eventSink receives the event with the list afterwards
     * @return the poller
     */
    public static HostListPoller of(
            WebClient client, String baseUrl, long timeoutMillis, Directory directory, EventSink eventSink) {
        return new HostListPoller(client, URI.create(baseUrl + "/hosts"), timeoutMillis, directory, eventSink);
    }

    /** Requests the host list once, unless a poll is in flight. */
    public void poll() {
        if (pollInFlight.compareAndSet(false, true)) {
            client.send(WebRequest.get(uri, timeoutMillis))
                    .whenComplete((result, error) -> pollInFlight.set(false))
                    .thenAccept(this::handleResult);
        }
    }

    private void handleResult(WebResult result) {
        List<String> ignored = new ArrayList<>();
        boolean valid = result.successBody()
                .flatMap(body -> HostListJson.read(body, ignored::add).toOption())
                .peek(this::publish)
                .isDefined();
        reportIgnored(ignored);
        if (!valid && !lastPollFailed) {
            Logger.warn("platform: the host list could not be read; the previous one stays in use");
        }
        lastPollFailed = !valid;
    }

    /** Reports entries that are left out, once for as many of them. */
    private void reportIgnored(List<String> reasons) {
        if (!reasons.isEmpty() && reasons.size() != lastIgnored) {
            Logger.warn(
                    "platform: {} entries of the host list can't be used and are ignored; the first: {}",
                    reasons.size(),
                    reasons.get(0));
            lastIgnored = reasons.size();
        }
    }

    private void publish(HostList list) {
        directory.update(list);
        eventSink.raise(new Event.HostsListed(list));
    }
}
