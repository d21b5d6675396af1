package org.rattanplank.bench.process;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.vavr.control.Option;

/** The users' deployments at their sizes of today. */
public enum Deployment {
    /** Three regions that weigh cost. */
    KORO(
            "plank-serve",
            "crew-desk",
            "cost",
            List.of(
                    new Site("suva", "suva-hall", 3, 1),
                    new Site("lautoka", "lautoka-hall", 2, 1),
                    new Site("labasa", "labasa-hall", 2, 1)),
            List.of(
                    new Client("suva-floor", "suva-hall", Set.of("suva", "lautoka", "labasa")),
                    new Client("lautoka-floor", "lautoka-hall", Set.of("suva", "lautoka", "labasa")),
                    new Client("labasa-floor", "labasa-hall", Set.of("labasa")))),
    /** Three regions that weigh tail latency. */
    BRAZOS(
            "quote-writer",
            "fleet-desk",
            "tail",
            List.of(
                    new Site("gulf", "hou-hall", 2, 1),
                    new Site("north-texas", "dfw-hall", 2, 1),
                    new Site("west-texas", "maf-hall", 2, 1)),
            List.of(
                    new Client("hou-brokers", "hou-hall", Set.of("gulf", "north-texas", "west-texas")),
                    new Client("dfw-brokers", "dfw-hall", Set.of("gulf", "north-texas", "west-texas")),
                    new Client("maf-ranches", "maf-hall", Set.of("west-texas"))));

    private final String modelService;
    private final String plainService;
    private final String policy;
    private final List<Site> sites;
    private final List<Client> clients;

    Deployment(String modelService, String plainService, String policy, List<Site> sites, List<Client> clients) {
        this.modelService = modelService;
        this.plainService = plainService;
        this.policy = policy;
        this.sites = sites;
        this.clients = clients;
    }

    /**
     * Finds a deployment by its name in lower case.
     *
     * @param name the name
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
     * The name in lower case, which is also that of the examples' folder.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * The service of model engines.
     *
     * @return its name
     */
    public String modelService() {
        return modelService;
    }

    /**
     * The plain service, whose calls may not be repeated.
     *
     * @return its name
     */
    public String plainService() {
        return plainService;
    }

    /**
     * What the choice of a target weighs.
     *
     * @return the value of the daemon's setting
     */
    public String policy() {
        return policy;
    }

    /**
     * The data centres.
     *
     * @return the sites
     */
    public List<Site> sites() {
        return sites;
    }

    /**
     * The accounts.
     *
     * @return the clients
     */
    public List<Client> clients() {
        return clients;
    }
}
