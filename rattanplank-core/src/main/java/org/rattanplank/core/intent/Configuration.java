package org.rattanplank.core.intent;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;

/**
 * One generation of the merged intents. Immutable and thread safe.
 *
 * <p>Invariant: two configurations with the same generation and digest hold the same intents.
 *
 * @param generation the generation, which only increases; zero before any was received
 * @param digest the SHA-256 of the merged document in lower-case hexadecimal
 * @param services the services by name
 * @param accounts the accounts by name
 * @param residencies the regions that each residency label allows
 * @param shares the share of work that each region accepts, where it is limited, from zero to one
 * @param retiring the hosts and targets to be retired
 * @param limits the limits of accounts by account name
 * @param regions the data centres of each region that the files define
 */
public record Configuration(
        long generation,
        String digest,
        Map<String, Service> services,
        Map<String, Account> accounts,
        Map<String, Set<String>> residencies,
        Map<String, Double> shares,
        Set<String> retiring,
        Map<String, Limit> limits,
        Map<String, List<String>> regions) {
    public Configuration {
        services = Map.copyOf(services);
        accounts = Map.copyOf(accounts);
        residencies = Map.copyOf(residencies);
        shares = Map.copyOf(shares);
        retiring = Set.copyOf(retiring);
        limits = Map.copyOf(limits);
        regions = Map.copyOf(regions);
    }

    /**
     * Creates a configuration without limits or regions.
     *
     * @param generation the generation
     * @param digest the digest of the merged document
     * @param services the services by name
     * @param accounts the accounts by name
     * @param residencies the regions that each residency label allows
     * @param shares the share of work that each region accepts
     * @param retiring the hosts and targets to be retired
     */
    public Configuration(
            long generation,
            String digest,
            Map<String, Service> services,
            Map<String, Account> accounts,
            Map<String, Set<String>> residencies,
            Map<String, Double> shares,
            Set<String> retiring) {
        this(generation, digest, services, accounts, residencies, shares, retiring, Map.of(), Map.of());
    }

    /**
     * Returns the configuration of a host that has received none.
     *
     * @return the empty configuration
     */
    public static Configuration empty() {
        return new Configuration(0, "", Map.of(), Map.of(), Map.of(), Map.of(), Set.of());
    }

    /**
     * Returns a service.
     *
     * @param name its name
     * @return the service, or none
     */
    public Option<Service> service(String name) {
        return Option.of(services.get(name));
    }

    /**
     * Returns an account.
     *
     * @param name its name
     * @return the account, or none
     */
    public Option<Account> account(String name) {
        return Option.of(accounts.get(name));
    }

    /**
     * Returns the limit of an account.
     *
     * @param account the account's name
     * @return the limit, or none
     */
    public Option<Limit> limit(String account) {
        return Option.of(limits.get(account));
    }

    /**
     * Returns the regions in which data may be processed; data of unknown residency stays in its home region.
     *
     * @param homeRegion the home region of the data's account
     * @param label the residency label, or none
     * @return the regions
     */
    public Set<String> allowedRegions(String homeRegion, Option<String> label) {
        return label.flatMap(name -> Option.of(residencies.get(name))).getOrElse(() -> Set.of(homeRegion));
    }
}
