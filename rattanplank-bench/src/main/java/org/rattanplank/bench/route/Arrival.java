package org.rattanplank.bench.route;

import java.util.List;

import org.rattanplank.core.request.WorkClass;

/**
 * One request as its caller asks it. Immutable and thread safe.
 *
 * @param number its number in the run
 * @param atMillis when it is asked
 * @param region the index of its home region
 * @param host the index of the entry host within the region
 * @param account the account
 * @param service the service's shape
 * @param workClass its class
 * @param mayCross whether its residency allows all regions
 * @param promptTokens the prompt's tokens
 * @param maxTokens the largest number of tokens that the caller allows
 * @param outputTokens the tokens that the answer will have
 * @param patienceMillis how long the caller waits
 * @param prefixes hashes of the prompt's prefixes
 */
record Arrival(
        long number,
        long atMillis,
        int region,
        int host,
        String account,
        ServiceShape service,
        WorkClass workClass,
        boolean mayCross,
        int promptTokens,
        int maxTokens,
        int outputTokens,
        long patienceMillis,
        List<Long> prefixes) {}
