package org.rattanplank.core;

import java.util.Objects;

import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.Route;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.schema.message.PeerMessage;

/** Something that an entry host has to do. Immutable and thread safe. */
public sealed interface Action {

    /**
     * Send a request to a target or forward it to another entry host.
     *
     * @param requestId the request
     * @param attempt the attempt's number, from one
     * @param route where to
     * @param request the request as the other side is to see it
     * @param resumeAtPart how many parts of a streamed answer the caller already has; zero starts anew
     * @param timeoutMillis when to give the attempt up, on this host's clock
     */
    record StartAttempt(
            String requestId, int attempt, Route route, Request request, long resumeAtPart, long timeoutMillis)
            implements Action {
        public StartAttempt {
            Objects.requireNonNull(route, "route");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Stop an attempt, and tell the other side that nobody wants its answer.
     *
     * @param requestId the request
     * @param attempt the attempt
     */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /**
     * Give a request its only outcome, to the caller or to the host that forwarded it.
     *
     * @param requestId the request
     * @param outcome the outcome
     */
    record Finish(String requestId, Outcome outcome) implements Action {
        public Finish {
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Send a message to another entry host; it may be lost.
     *
     * @param host the other host
     * @param message the message
     */
    record SendMessage(String host, PeerMessage message) implements Action {
        public SendMessage {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Call the platform's store; each call ends with one reply.
     *
     * @param owner the part that calls
     * @param callId the call, which its reply carries
     * @param command what to do
     */
    record CallStore(StoreOwner owner, long callId, StoreCommand command) implements Action {
        public CallStore {
            Objects.requireNonNull(owner, "owner");
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Give a target an order; each order ends with one answer.
     *
     * @param orderId the order, which its answer carries
     * @param target the target
     * @param fencingNumber the number by which a target tells an old controller from the newest
     * @param verb what to do, such as {@code load}, {@code unload} or {@code role}
     * @param subject the model with its version, the adapter or the role
     */
    record OrderTarget(long orderId, String target, long fencingNumber, String verb, String subject)
            implements Action {}

    /**
     * Keep links to these entry hosts, and to no others unless they are in use.
     *
     * @param hosts the names of the hosts
     */
    record KeepLinks(java.util.List<String> hosts) implements Action {
        public KeepLinks {
            hosts = java.util.List.copyOf(hosts);
        }
    }

    /** Stop the process; nothing is left to do. */
    record Stop() implements Action {}
}
