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
 * {@code bin/measure routing}: compares the product's policy with the baselines, with the same arrivals for all.
 *
 * <p>It prints lines of {@code policy scenario metric value}, medians over the seeds. Confined to one thread.
 */
public final class RoutingMeasurement {
    private static final int SEEDS = 5;

    @Parameter(names = "--deployment", description = "koro or brazos; both if it is not given")
    private String deployment = "";

    @Parameter(names = "--scenario", description = "one scenario; all if it is not given")
    private String scenario = "";

    @Parameter(names = "--seed", description = "one seed; 1 to 5 if it is not given")
    private long seed;

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
        for (Deployment one : Deployment.values()) {
            if (deployment.isEmpty() || one.name().equalsIgnoreCase(deployment)) {
                measure(one);
            }
        }
    }

    private void measure(Deployment one) {
        System.out.println("# deployment " + one.name().toLowerCase(Locale.ROOT));
        List<Policy> policies = new ArrayList<>(
                Arrays.stream(Policy.values()).filter(Policy::isBaseline).toList());
        policies.add(one.policy);
        for (Scenario each : Scenario.values()) {
            if (!scenario.isEmpty() && !each.label().equals(scenario)) {
                continue;
            }
            Map<Policy, Map<String, Double>> medians = new TreeMap<>();
            for (Policy policy : policies) {
                medians.put(policy, medians(one, each, policy));
                medians.get(policy).forEach((metric, value) -> print(policy.label(), each, metric, value));
            }
            new Goals(one, each, medians).lines().forEach(System.out::println);
        }
    }

    private Map<String, Double> medians(Deployment one, Scenario each, Policy policy) {
        Map<String, List<Double>> values = new TreeMap<>();
        for (long run = seed == 0 ? 1 : seed; run <= (seed == 0 ? SEEDS : seed); run++) {
            Simulation.run(one, each, policy, run).metrics().forEach((metric, value) -> values.computeIfAbsent(
                            metric, name -> new ArrayList<>())
                    .add(value));
        }
        Map<String, Double> medians = new TreeMap<>();
        values.forEach((metric, found) ->
                medians.put(metric, found.stream().sorted().toList().get(found.size() / 2)));
        return medians;
    }

    private static void print(String policy, Scenario each, String metric, double value) {
        System.out.printf(Locale.ROOT, "%s %s %s %.4g%n", policy, each.label(), metric, value);
    }
}
