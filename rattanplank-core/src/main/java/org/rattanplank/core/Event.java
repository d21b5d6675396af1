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

/** An event that an entry host handles. Immutable and thread safe. */
public sealed interface Event {

    /**
     * A caller sent a request.
     *
     * @param request the request, which no host has forwarded yet
     */
    record CallerRequestReceived(Request request) implements Event {
        public CallerRequestReceived {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Another entry host forwarded a request to this one.
     *
     * @param host the other host
     * @param attempt the other host's attempt number, which the answer contains too
     * @param request the request with the hosts that have forwarded it
     */
    record PeerRequestReceived(String host, long attempt, Request request) implements Event {
        public PeerRequestReceived {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * The requester disconnected or cancelled.
     *
     * @param requestId the request
     */
    record RequesterLeft(String requestId) implements Event {}

    /**
     * A stream event was delivered to the requester; from now on the request cannot be restarted without the requester
     * noticing.
     *
     * @param requestId the request
     * @param attempt the attempt that produced it
     * @param streamEvents how many stream events have been delivered so far
     */
    record StreamProgressed(String requestId, int attempt, long streamEvents) implements Event {}

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
     * A link to another entry host was established, and the other host has identified itself.
     *
     * @param host the other host
     * @param incarnation the other process's start time
     * @param region the other host's region
     * @param dataCentre the other host's data centre
     */
    record PeerConnected(String host, long incarnation, String region, String dataCentre) implements Event {}

    /**
     * A link to another entry host failed or could not be established.
     *
     * @param host the other host
     * @param refused whether the connection was refused, so that no process is listening at the other host's address
     */
    record PeerLost(String host, boolean refused) implements Event {}

    /**
     * A message from another entry host arrived.
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
     * A target said in an answer that it leaves.
     *
     * @param target the target
     */
    record TargetLeaving(String target) implements Event {
        public TargetLeaving {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * A target wants nothing from this host for some time.
     *
     * @param target the target
     * @param millis the time
     */
    record TargetPauseRequested(String target, long millis) implements Event {
        public TargetPauseRequested {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * A target did not answer a load query.
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
     * The platform's host list was read.
     *
     * @param list the list
     */
    record HostsListed(HostList list) implements Event {}

    /**
     * A call to the platform's store ended.
     *
     * @param owner the component that made the call
     * @param callId the call
     * @param reply the reply
     */
    record StoreReplied(StoreOwner owner, long callId, StoreReply reply) implements Event {}

    /**
     * A watched key changed.
     *
     * @param owner the component that watches
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
     * A watch failed; changes may have been missed.
     *
     * @param owner the component that watched
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

    /** An operator or a signal requested this host to accept no new requests, finish those in flight and stop. */
    record DrainAsked() implements Event {}

    /** The time of a graceful stop is nearly over: requests in flight end with the outcome that is known now. */
    record StopOverdue() implements Event {}

    /** Time has passed; the host delivers this event several times per second. */
    record Ticked() implements Event {}
}
