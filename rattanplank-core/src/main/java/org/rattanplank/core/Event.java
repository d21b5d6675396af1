package org.rattanplank.core;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.host.HostList;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.CacheEvent;
import org.rattanplank.core.route.TargetLoad;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.PeerMessage;

/** Something that happened to an entry host. Immutable and thread safe. */
public sealed interface Event {

    /**
     * A caller asks.
     *
     * @param request the request, which no host has passed
     */
    record CallerAsked(Request request) implements Event {
        public CallerAsked {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Another entry host forwards a request to this one.
     *
     * @param host the other host
     * @param attempt the other host's attempt number, which its answer carries
     * @param request the request with the hosts that it has passed
     */
    record PeerAsked(String host, long attempt, Request request) implements Event {
        public PeerAsked {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Whoever asked no longer waits.
     *
     * @param requestId the request
     */
    record AskerLeft(String requestId) implements Event {}

    /**
     * A part of a streamed answer has gone to whoever asked; from now on the request cannot start anew unseen.
     *
     * @param requestId the request
     * @param attempt the attempt that brought it
     * @param parts how many parts have gone so far
     */
    record StreamProgressed(String requestId, int attempt, long parts) implements Event {}

    /**
     * An attempt ended.
     *
     * @param requestId the request
     * @param attempt the attempt
     * @param result how it ended
     */
    record AttemptEnded(String requestId, int attempt, AttemptResult result) implements Event {
        public AttemptEnded {
            Objects.requireNonNull(result, "result");
        }
    }

    /**
     * A link to another entry host is up, and its other end has said who it is.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param region the region in which it stands
     * @param dataCentre the data centre in which it stands
     */
    record PeerConnected(String host, long incarnation, String region, String dataCentre) implements Event {}

    /**
     * A link to another entry host broke, or could not be made.
     *
     * @param host the other host
     * @param refused whether the other host's address refused the connection, so that no process listens there
     */
    record PeerLost(String host, boolean refused) implements Event {}

    /**
     * A message came from another entry host.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param message the message
     */
    record MessageReceived(String host, long incarnation, PeerMessage message) implements Event {
        public MessageReceived {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * A target reported its load.
     *
     * @param load the report
     */
    record LoadReported(TargetLoad load) implements Event {}

    /**
     * A target did not answer when it was asked for its load.
     *
     * @param target the target
     */
    record LoadMissed(String target) implements Event {}

    /**
     * A target reported changes of its prefix cache.
     *
     * @param events the changes, oldest first
     */
    record CacheReported(List<CacheEvent> events) implements Event {
        public CacheReported {
            events = List.copyOf(events);
        }
    }

    /**
     * The platform's list of hosts was read.
     *
     * @param list the list
     */
    record HostsListed(HostList list) implements Event {}

    /**
     * A call to the platform's store ended.
     *
     * @param owner the part that made it
     * @param callId the call
     * @param reply its end
     */
    record StoreReplied(StoreOwner owner, long callId, StoreReply reply) implements Event {}

    /**
     * A watched key changed.
     *
     * @param owner the part that watches
     * @param prefix the watched prefix
     * @param entries the entries that were written; a deleted one has modification revision zero
     * @param revision the store's revision after the changes
     */
    record StoreChanged(StoreOwner owner, String prefix, List<StoreEntry> entries, long revision) implements Event {
        public StoreChanged {
            entries = List.copyOf(entries);
        }
    }

    /**
     * A watch broke; changes may have been missed.
     *
     * @param owner the part that watched
     * @param prefix the watched prefix
     */
    record WatchBroken(StoreOwner owner, String prefix) implements Event {}

    /**
     * A target answered an order.
     *
     * @param orderId the order
     * @param result how it ended
     */
    record OrderAnswered(long orderId, OrderResult result) implements Event {}

    /** An operator or a signal asks this host to take no new work, finish what it has and stop. */
    record DrainAsked() implements Event {}

    /** Time has passed; a host sends this several times a second. */
    record Ticked() implements Event {}
}
