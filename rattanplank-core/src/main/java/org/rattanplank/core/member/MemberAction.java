package org.rattanplank.core.member;

import java.util.List;
import java.util.Objects;

import org.rattanplank.schema.message.MemberMessage;

/** An action that the membership of a host requests. Immutable and thread safe. */
public sealed interface MemberAction {

    /**
     * Sends a message to another entry host.
     *
     * @param host the other host
     * @param message the message
     */
    record Send(String host, MemberMessage message) implements MemberAction {
        public Send {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Keeps links to these hosts; links to other hosts stay open only while in use.
     *
     * @param hosts the names of the hosts
     */
    record KeepLinks(List<String> hosts) implements MemberAction {
        public KeepLinks {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Another host reported its configuration generation.
     *
     * @param host the other host
     * @param generation its generation
     */
    record GenerationReported(String host, long generation) implements MemberAction {}
}
