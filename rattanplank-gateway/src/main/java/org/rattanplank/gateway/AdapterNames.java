package org.rattanplank.gateway;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.gateway.store.StoreFormat;

/**
 * All that an installation calls by its own names: headers, keys of the store, and the questions of its callers.
 * Immutable and thread safe.
 *
 * @param headers the names of headers
 * @param storeFormat the names and formats of the store
 * @param directoryFormat how callers ask for entry hosts
 */
public record AdapterNames(HeaderNames headers, StoreFormat storeFormat, DirectoryFormat directoryFormat) {
    public AdapterNames {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(storeFormat, "storeFormat");
        Objects.requireNonNull(directoryFormat, "directoryFormat");
    }

    /** How callers and the platform ask and are answered. Stateless and thread safe. */
    public interface DirectoryFormat {
        /**
         * Reads a question for entry hosts.
         *
         * @param uri the path with its query
         * @return the question, or none if it is another one
         */
        Option<Question> read(String uri);

        /**
         * Writes the answer.
         *
         * @param addresses the hosts' addresses
         * @param seconds how long they may be used
         * @return the answer
         */
        AdminAnswer write(List<String> addresses, int seconds);

        /**
         * Tells whether a path asks for readiness.
         *
         * @param uri the path with its query
         * @return whether it does
         */
        boolean asksReadiness(String uri);
    }

    /**
     * A caller's question.
     *
     * @param hostName what it wants to reach
     * @param region its region
     * @param dataCentre its data centre
     */
    public record Question(String hostName, String region, String dataCentre) {}
}
