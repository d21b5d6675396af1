package org.rattanplank.core;

import java.util.Objects;

import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.route.Route;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.schema.message.PeerMessage;

/** An action that an entry host has to perform. Immutable and thread safe. */
public sealed interface Action {

    /**
     * Sends a request to a target or forwards it to another entry host.
     *
     * @param requestId the request
     * @param attempt the attempt's number, from one
     * @param route the destination
     * @param request the request as the other side receives it
     * @param resumeAtStreamEvent how many stream events of the answer the caller already has; zero starts from the beginning
     * @param timeoutMillis when to abandon the attempt, on this host's clock
     */
    record StartAttempt(
            String requestId, int attempt, Route route, Request request, long resumeAtStreamEvent, long timeoutMillis)
            implements Action {
        public StartAttempt {
            Objects.requireNonNull(route, "route");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Cancels an attempt and notifies the other side that its answer is no longer needed.
     *
     * @param requestId the request
     * @param attempt the attempt
     */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /**
     * Delivers the only outcome of a request to the caller or to the host that forwarded it.
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
     * Sends a message to another entry host; it may be lost.
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
     * Calls the platform's store; each call gets exactly one reply.
     *
     * @param owner the component that calls
     * @param callId the call's identifier, which the reply contains too
     * @param command the command
     */
    record CallStore(StoreOwner owner, long callId, StoreCommand command) implements Action {
        public CallStore {
            Objects.requireNonNull(owner, "owner");
            Objects.requireNonNull(command, "command");
        }
    }

    /**
     * Sends an order to a target; each order gets exactly one answer.
     *
     * @param orderId the order's identifier, which the answer contains too
     * @param target the target
     * @param fencingNumber the number by which a target distinguishes a previous controller from the current one
     * @param verb the operation, such as {@code load}, {@code unload} or {@code role}
     * @param subject the model with its version, the adapter or the role
     */
    record OrderTarget(long orderId, String target, long fencingNumber, String verb, String subject)
            implements Action {}

    /**
     * Keeps links to these entry hosts, and closes other links once they are unused.
     *
     * @param hosts the names of the hosts
     */
    record KeepLinks(java.util.List<String> hosts) implements Action {
        public KeepLinks {
            hosts = java.util.List.copyOf(hosts);
        }
    }

    /** Stops the process; all work is finished. */
    record Stop() implements Action {}
}
