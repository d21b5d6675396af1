package org.rattanplank.bench.route;

import java.util.List;

import org.rattanplank.core.request.WorkClass;

/**
 * One request of the generated load. Immutable and thread safe.
 *
 * @param number the number of the request in the run
 * @param atMillis the virtual time at which it is sent
 * @param region the index of the home region
 * @param host the index of the entry host within the region
 * @param account the client account
 * @param service the profile of the service
 * @param workClass the work class
 * @param allRegionsAllowed whether its residency allows all regions
 * @param promptTokens the length of the prompt
 * @param maxTokens the maximum number of output tokens that the caller allows
 * @param outputTokens the number of output tokens of the response
 * @param maxWaitMillis the time after which the caller gives up waiting
 * @param prefixes the hashes of the prompt's prefixes
 */
record Arrival(
        long number,
        long atMillis,
        int region,
        int host,
        String account,
        ServiceProfile service,
        WorkClass workClass,
        boolean allRegionsAllowed,
        int promptTokens,
        int maxTokens,
        int outputTokens,
        long maxWaitMillis,
        List<Long> prefixes) {}
