package org.rattanplank.bench.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * What a fleet is made of. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param claims whether the plain service's calls are claimed before they run, as the examples say
 * @param hostSettings further settings of the entry hosts
 * @param targetSettings further settings of the targets
 */
public record FleetOptions(
        Deployment deployment, boolean claims, List<String> hostSettings, List<String> targetSettings) {
    public FleetOptions {
        Objects.requireNonNull(deployment, "deployment");
        hostSettings = List.copyOf(hostSettings);
        targetSettings = List.copyOf(targetSettings);
    }

    /**
     * A fleet with all its parts as they are shipped.
     *
     * @param deployment the deployment
     * @return the options
     */
    public static FleetOptions of(Deployment deployment) {
        return new FleetOptions(deployment, true, List.of(), List.of());
    }

    /**
     * Copies these options with further settings of the entry hosts.
     *
     * @param settings the settings
     * @return the copy
     */
    public FleetOptions withHostSettings(String... settings) {
        return new FleetOptions(deployment, claims, List.of(settings), targetSettings);
    }

    /**
     * Copies these options with further settings of the targets.
     *
     * @param settings the settings
     * @return the copy
     */
    public FleetOptions withTargetSettings(String... settings) {
        return new FleetOptions(deployment, claims, hostSettings, List.of(settings));
    }

    /**
     * Copies these options with the claim step taken out: the plain service is declared repeatable.
     *
     * @return the copy
     */
    public FleetOptions withoutClaims() {
        return new FleetOptions(deployment, false, hostSettings, targetSettings);
    }

    /**
     * Finds the deployment's folder of intents, whether the process runs in the root or in a module.
     *
     * @return the folder
     */
    public Path examples() {
        Path here = Path.of("examples", deployment.label());
        return Files.isDirectory(here) ? here : Path.of("..", "examples", deployment.label());
    }
}
