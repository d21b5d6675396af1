package org.rattanplank.bench.process;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.vavr.control.Option;

/** The users' deployments, at their current sizes. */
public enum Deployment {
    /** Three regions of one data centre each, routed by the cost policy. */
    KORO(
            "plank-serve",
            "crew-desk",
            "cost",
            List.of(
                    new Site("suva", "suva-hall", 3, 1),
                    new Site("lautoka", "lautoka-hall", 2, 1),
                    new Site("labasa", "labasa-hall", 2, 1)),
            List.of(
                    new ClientAccount("suva-floor", "suva-hall", Set.of("suva", "lautoka", "labasa")),
                    new ClientAccount("lautoka-floor", "lautoka-hall", Set.of("suva", "lautoka", "labasa")),
                    new ClientAccount("labasa-floor", "labasa-hall", Set.of("labasa")))),
    /** Three regions of one data centre each, routed by the tail latency policy. */
    BRAZOS(
            "quote-writer",
            "fleet-desk",
            "tail",
            List.of(
                    new Site("gulf", "hou-hall", 2, 1),
                    new Site("north-texas", "dfw-hall", 2, 1),
                    new Site("west-texas", "maf-hall", 2, 1)),
            List.of(
                    new ClientAccount("hou-brokers", "hou-hall", Set.of("gulf", "north-texas", "west-texas")),
                    new ClientAccount("dfw-brokers", "dfw-hall", Set.of("gulf", "north-texas", "west-texas")),
                    new ClientAccount("maf-ranches", "maf-hall", Set.of("west-texas"))));

    private final String modelService;
    private final String plainService;
    private final String policy;
    private final List<Site> sites;
    private final List<ClientAccount> clientAccounts;

    Deployment(
            String modelService,
            String plainService,
            String policy,
            List<Site> sites,
            List<ClientAccount> clientAccounts) {
        this.modelService = modelService;
        this.plainService = plainService;
        this.policy = policy;
        this.sites = sites;
        this.clientAccounts = clientAccounts;
    }

    /**
     * Returns the deployment with the given label.
     *
     * @param name the label
     * @return the deployment, or none
     */
    public static Option<Deployment> of(String name) {
        for (Deployment deployment : values()) {
            if (deployment.label().equals(name)) {
                return Option.some(deployment);
            }
        }
        return Option.none();
    }

    /**
     * Returns the label: the deployment's name in lower case, which is also the name of the folder that contains its
     * example configuration.
     *
     * @return the label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the name of the service that is served by model engines.
     *
     * @return the service name
     */
    public String modelService() {
        return modelService;
    }

    /**
     * Returns the name of the plain HTTP service, whose requests are not repeatable.
     *
     * @return the service name
     */
    public String plainService() {
        return plainService;
    }

    /**
     * Returns the routing policy.
     *
     * @return the value of the daemon's policy setting
     */
    public String policy() {
        return policy;
    }

    /**
     * Returns the data centres.
     *
     * @return the data centres
     */
    public List<Site> sites() {
        return sites;
    }

    /**
     * Returns the client accounts.
     *
     * @return the client accounts
     */
    public List<ClientAccount> clientAccounts() {
        return clientAccounts;
    }
}
