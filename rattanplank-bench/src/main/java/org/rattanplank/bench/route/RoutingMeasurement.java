package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import org.rattanplank.core.route.Policy;

/**
 * Compares the product's policy with the baseline policies under the same load ({@code bin/measure routing}).
 *
 * <p>Prints lines of {@code policy scenario metric value} with medians over the seeds. Confined to one thread.
 */
public final class RoutingMeasurement {
    private static final int DEFAULT_SEEDS = 5;

    @Parameter(names = "--deployment", description = "koro or brazos; both if it is not given")
    private String deploymentOption = "";

    @Parameter(names = "--scenario", description = "one scenario; all if it is not given")
    private String scenarioOption = "";

    @Parameter(names = "--seed", description = "one seed; 1 to 5 if it is not given")
    private long seedOption;

    private RoutingMeasurement() {}

    /**
     * Runs the measurement.
     *
     * @param arguments the options
     */
    public static void main(String[] arguments) {
        RoutingMeasurement measurement = new RoutingMeasurement();
        JCommander.newBuilder().addObject(measurement).build().parse(arguments);
        measurement.run();
    }

    private void run() {
        System.out.println("# Drives the product's routers in virtual time with stand-in targets; no daemons run.");
        System.out.println("# Cost: busy seconds of a target in all its slots, and the delay of each crossing.");
        System.out.println("# Lines: policy scenario metric value (medians over the seeds).");
        for (Deployment deployment : Deployment.values()) {
            if (deploymentOption.isEmpty() || deployment.name().equalsIgnoreCase(deploymentOption)) {
                measure(deployment);
            }
        }
    }

    private void measure(Deployment deployment) {
        System.out.println("# deployment " + deployment.name().toLowerCase(Locale.ROOT));
        List<Policy> policies = new ArrayList<>(
                Arrays.stream(Policy.values()).filter(Policy::isBaseline).toList());
        policies.add(deployment.policy);
        for (Scenario scenario : Scenario.values()) {
            if (!scenarioOption.isEmpty() && !scenario.label().equals(scenarioOption)) {
                continue;
            }
            Map<Policy, Map<String, Double>> medians = new TreeMap<>();
            for (Policy policy : policies) {
                medians.put(policy, medians(deployment, scenario, policy));
                medians.get(policy).forEach((metric, value) -> print(policy.label(), scenario, metric, value));
            }
            new Goals(deployment, scenario, medians).lines().forEach(System.out::println);
        }
    }

    private Map<String, Double> medians(Deployment deployment, Scenario scenario, Policy policy) {
        Map<String, List<Double>> values = new TreeMap<>();
        for (long seed = seedOption == 0 ? 1 : seedOption;
                seed <= (seedOption == 0 ? DEFAULT_SEEDS : seedOption);
                seed++) {
            Simulation.run(deployment, scenario, policy, seed)
                    .metrics()
                    .forEach((metric, value) -> values.computeIfAbsent(metric, name -> new ArrayList<>())
                            .add(value));
        }
        Map<String, Double> medians = new TreeMap<>();
        values.forEach((metric, found) ->
                medians.put(metric, found.stream().sorted().toList().get(found.size() / 2)));
        return medians;
    }

    private static void print(String policy, Scenario scenario, String metric, double value) {
        System.out.printf(Locale.ROOT, "%s %s %s %.4g%n", policy, scenario.label(), metric, value);
    }
}
