package org.rattanplank.bench.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * The options of a fleet. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param claimsEnabled whether requests to the plain service are claimed before they run, as the examples configure it
 * @param hostSettings additional settings of the entry hosts
 * @param targetSettings additional settings of the targets
 */
public record FleetOptions(
        Deployment deployment, boolean claimsEnabled, List<String> hostSettings, List<String> targetSettings) {
    public FleetOptions {
        Objects.requireNonNull(deployment, "deployment");
        hostSettings = List.copyOf(hostSettings);
        targetSettings = List.copyOf(targetSettings);
    }

    /**
     * Returns the options of a fleet with default settings.
     *
     * @param deployment the deployment
     * @return the options
     */
    public static FleetOptions of(Deployment deployment) {
        return new FleetOptions(deployment, true, List.of(), List.of());
    }

    /**
     * Returns a copy of these options with the given additional settings of the entry hosts.
     *
     * @param settings the settings
     * @return the copy
     */
    public FleetOptions withHostSettings(String... settings) {
        return new FleetOptions(deployment, claimsEnabled, List.of(settings), targetSettings);
    }

    /**
     * Returns a copy of these options with the given additional settings of the targets.
     *
     * @param settings the settings
     * @return the copy
     */
    public FleetOptions withTargetSettings(String... settings) {
        return new FleetOptions(deployment, claimsEnabled, hostSettings, List.of(settings));
    }

    /**
     * Returns a copy of these options without claims: the plain service is declared repeatable.
     *
     * @return the copy
     */
    public FleetOptions withoutClaims() {
        return new FleetOptions(deployment, false, hostSettings, targetSettings);
    }

    /**
     * Returns the deployment's folder of intents; works from the root of the checkout and from a module's folder.
     *
     * @return the folder
     */
    public Path intentsFolder() {
        Path fromRoot = Path.of("examples", deployment.label());
        return Files.isDirectory(fromRoot) ? fromRoot : Path.of("..", "examples", deployment.label());
    }
}
