package org.rattanplank.core.member;

import java.util.List;
import java.util.Objects;

import org.rattanplank.schema.message.MemberMessage;

/** Something that the membership of a host wants done. Immutable and thread safe. */
public sealed interface MemberStep {

    /**
     * Send a message to another entry host.
     *
     * @param host the other host
     * @param message the message
     */
    record Send(String host, MemberMessage message) implements MemberStep {
        public Send {
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Keep links to these hosts, and to no others unless they are in use.
     *
     * @param hosts the names of the hosts
     */
    record KeepLinks(List<String> hosts) implements MemberStep {
        public KeepLinks {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Another host told which generation of the configuration it has.
     *
     * @param host the other host
     * @param generation its generation
     */
    record Heard(String host, long generation) implements MemberStep {}
}
