package org.rattanplank.gateway;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.rattanplank.gateway.store.StoreFormat;

/**
 * The names and formats that an installation defines: headers, store keys and values, and the entry host directory.
 * Immutable and thread safe.
 *
 * @param headers the names of headers
 * @param storeFormat the keys and value formats of the store
 * @param directoryFormat the format of requests for entry hosts
 */
public record PlatformFormats(HeaderNames headers, StoreFormat storeFormat, DirectoryFormat directoryFormat) {
    public PlatformFormats {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(storeFormat, "storeFormat");
        Objects.requireNonNull(directoryFormat, "directoryFormat");
    }

    /** The format of requests for entry hosts and of readiness probes. Stateless and thread safe. */
    public interface DirectoryFormat {
        /**
         * Parses a request for entry hosts.
         *
         * @param uri the path with its query
         * @return the query, or none if it is another request
         */
        Option<EntryHostsQuery> parse(String uri);

        /**
         * Formats the response to a request for entry hosts.
         *
         * @param addresses the addresses of the hosts
         * @param seconds how long the list may be used
         * @return the response
         */
        AdminResponse format(List<String> addresses, int seconds);

        /**
         * Returns whether a request is a readiness probe.
         *
         * @param uri the path with its query
         * @return whether it is
         */
        boolean isReadinessProbe(String uri);
    }

    /**
     * A caller's query for entry hosts.
     *
     * @param hostName the host name the caller wants to reach
     * @param region the caller's region
     * @param dataCentre the caller's data centre
     */
    public record EntryHostsQuery(String hostName, String region, String dataCentre) {}
}
