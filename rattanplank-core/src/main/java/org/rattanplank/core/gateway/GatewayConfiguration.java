package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.account.GatewayAccount;
import org.rattanplank.core.account.KeyDigest;

/**
 * The routes and services of one configuration version.
 *
 * <p>Invariant: of the routes that match a request, the one with the longest prefix is found. Immutable and thread
 * safe.
 */
public final class GatewayConfiguration {
    private final long version;
    private final Map<String, List<RouteRule>> routesByHostName;
    private final Map<String, ServiceRule> services;
    private final CallerLimits callerLimits;
    private final boolean requiresAccounts;
    private final Map<KeyDigest, GatewayAccount> accountsByKey;
    private final Map<String, GatewayAccount> accountsByName;
    private final int lastAccountRank;

    private GatewayConfiguration(
            long version,
            Map<String, List<RouteRule>> routesByHostName,
            Map<String, ServiceRule> services,
            CallerLimits limits,
            boolean requiresAccounts,
            Map<KeyDigest, GatewayAccount> accountsByKey,
            Map<String, GatewayAccount> accountsByName) {
        this.version = version;
        this.routesByHostName = routesByHostName;
        this.services = services;
        this.callerLimits = limits;
        this.requiresAccounts = requiresAccounts;
        this.accountsByKey = accountsByKey;
        this.accountsByName = accountsByName;
        lastAccountRank = accountsByName.values().stream()
                .mapToInt(GatewayAccount::rank)
                .max()
                .orElse(0);
    }

    /**
     * Creates a configuration.
     *
     * @param version its version
     * @param routes its routes
     * @param services its services
     * @param limits the limits for callers
     * @return the configuration
     */
    public static GatewayConfiguration of(
            long version, List<RouteRule> routes, List<ServiceRule> services, CallerLimits limits) {
        Map<String, List<RouteRule>> byHostName = new HashMap<>();
        for (RouteRule route : routes) {
            byHostName
                    .computeIfAbsent(route.hostName(), name -> new ArrayList<>())
                    .add(route);
        }
        Comparator<RouteRule> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        byHostName.values().forEach(list -> list.sort(longestFirst));
        Map<String, ServiceRule> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new GatewayConfiguration(version, byHostName, byName, limits, false, Map.of(), Map.of());
    }

    /**
     * Adds client accounts. From then on requests need one, also if there is none.
     *
     * @param accounts the accounts
     * @return the configuration with these accounts
     * @throws IllegalArgumentException if two accounts have the same name or a key in common
     */
    public GatewayConfiguration withAccounts(List<GatewayAccount> accounts) {
        Map<KeyDigest, GatewayAccount> byKey = new HashMap<>();
        Map<String, GatewayAccount> byName = new HashMap<>();
        for (GatewayAccount account : accounts) {
            if (byName.put(account.name(), account) != null) {
                throw new IllegalArgumentException("two client accounts have the name " + account.name());
            }
            for (KeyDigest key : account.keys()) {
                GatewayAccount other = byKey.put(key, account);
                if (other != null) {
                    throw new IllegalArgumentException(
                            "client accounts " + other.name() + " and " + account.name() + " have a key in common");
                }
            }
        }
        return new GatewayConfiguration(version, routesByHostName, services, callerLimits, true, byKey, byName);
    }

    /**
     * Restricts routes by residency rules, each named after a route or a service.
     *
     * @param residencies the regions that each rule allows
     * @return the configuration with the rules applied
     */
    public GatewayConfiguration restrictedTo(Map<String, Set<String>> residencies) {
        if (residencies.isEmpty()) {
            return this;
        }
        Map<String, List<RouteRule>> narrowed = new HashMap<>();
        routesByHostName.forEach((hostName, routes) -> narrowed.put(
                hostName,
                routes.stream().map(route -> restrictedTo(route, residencies)).toList()));
        return new GatewayConfiguration(
                version, narrowed, services, callerLimits, requiresAccounts, accountsByKey, accountsByName);
    }

    private static RouteRule restrictedTo(RouteRule route, Map<String, Set<String>> residencies) {
        RouteRule narrowed =
                residencies.containsKey(route.name()) ? route.restrictedTo(residencies.get(route.name())) : route;
        for (WeightedService service : route.services()) {
            if (residencies.containsKey(service.service())) {
                narrowed = narrowed.restrictedTo(residencies.get(service.service()));
            }
        }
        return narrowed;
    }

    /**
     * Returns the version.
     *
     * @return a number that rises with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits callerLimits() {
        return callerLimits;
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or none if it isn't configured
     */
    public Option<ServiceRule> service(String name) {
        return Option.of(services.get(name));
    }

    /**
     * Returns whether requests need a client account, except on public routes.
     *
     * @return whether the configuration names accounts
     */
    public boolean requiresAccounts() {
        return requiresAccounts;
    }

    /**
     * Returns the urgency of a request. A client account that ranks before others is served before them, whatever its
     * route; requests of accounts of the last rank are told apart by their routes.
     *
     * @param route its route
     * @param account its client account, if it has one
     * @return its urgency
     */
    public Urgency urgency(RouteRule route, Option<GatewayAccount> account) {
        return account.exists(each -> each.rank() < lastAccountRank) ? Urgency.FIRST : Urgency.of(route.rank());
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the digest of the key
     * @return the account, or none if no account has the key
     */
    public Option<GatewayAccount> account(KeyDigest key) {
        return Option.of(accountsByKey.get(key));
    }

    /**
     * Finds a client account.
     *
     * @param name its name
     * @return the account, or none
     */
    public Option<GatewayAccount> account(String name) {
        return Option.of(accountsByName.get(name));
    }

    /**
     * Returns the client accounts.
     *
     * @return the accounts
     */
    public Collection<GatewayAccount> accounts() {
        return List.copyOf(accountsByName.values());
    }

    /**
     * Finds the route of a request.
     *
     * @param authority the authority of the request, with or without a port
     * @param path the path, without its query
     * @return the route with the longest prefix, or none
     */
    public Option<RouteRule> route(String authority, String path) {
        for (RouteRule route : routesByHostName.getOrDefault(hostName(authority), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Option.some(route);
            }
        }
        return Option.none();
    }

    /**
     * Returns the home regions of the routes of a host name, those of most routes first.
     *
     * @param authority the authority of the requests
     * @return the regions; empty if no route has home regions
     */
    public List<String> homeRegions(String authority) {
        Map<String, Integer> routesByRegion = new TreeMap<>();
        for (RouteRule route : routesByHostName.getOrDefault(hostName(authority), List.of())) {
            route.homeRegions().forEach(region -> routesByRegion.merge(region, 1, Integer::sum));
        }
        return routesByRegion.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the regions that are homes of all routes of a host name that have home regions.
     *
     * @param authority the authority of the requests
     * @return the regions, in the order of {@link #homeRegions}
     */
    public List<String> commonHomeRegions(String authority) {
        List<RouteRule> homed = routesByHostName.getOrDefault(hostName(authority), List.of()).stream()
                .filter(route -> !route.homeRegions().isEmpty())
                .toList();
        return homeRegions(authority).stream()
                .filter(region ->
                        homed.stream().allMatch(route -> route.homeRegions().contains(region)))
                .toList();
    }

    /**
     * Returns the home regions of the routes that have some, for logs.
     *
     * @return the home regions by the routes' names
     */
    public Map<String, Set<String>> homeRegionsByRoute() {
        Map<String, Set<String>> homes = new TreeMap<>();
        routesByHostName.values().forEach(routes -> routes.stream()
                .filter(route -> !route.homeRegions().isEmpty())
                .forEach(route -> homes.put(route.name(), route.homeRegions())));
        return homes;
    }

    private static String hostName(String authority) {
        int colon = authority.lastIndexOf(':');
        return (colon < 0 ? authority : authority.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
