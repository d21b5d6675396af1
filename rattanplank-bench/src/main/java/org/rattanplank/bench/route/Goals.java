package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.rattanplank.core.route.Policy;

/**
 * Compares one scenario's medians with the goals. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param scenario the scenario
 * @param medians the metrics by policy
 */
record Goals(Deployment deployment, Scenario scenario, Map<Policy, Map<String, Double>> medians) {
    private static final double HALF = 0.5;
    private static final double COST_PART = 0.85;
    private static final double TAIL_PART = 0.7;
    private static final double ATTEMPTS = 1.1;
    private static final double RECOVERY_SECONDS = 10;

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        Map<String, Double> own = medians.get(deployment.policy);
        Map<String, Double> least = medians.get(Policy.LEAST_REPORTED);
        if (deployment == Deployment.KORO) {
            lines.add(line("share-away", own.get("share-away"), HALF * least.get("share-away")));
            String cost = "cost-seconds-per-100-answers";
            lines.add(line(cost, own.get(cost), COST_PART * least.get(cost)));
        } else {
            for (String metric : List.of("first-token-p99-ms", "whole-p99-ms", "interactive-whole-p99-ms")) {
                lines.add(line(metric, own.get(metric), TAIL_PART * bestBaseline(metric)));
            }
        }
        lines.add(line("attempts-per-request", own.get("attempts-per-request"), ATTEMPTS));
        lines.add(line("unfair-accounts", own.get("unfair-accounts"), 0));
        if (own.containsKey("recovery-seconds")) {
            lines.add(line("recovery-seconds", own.get("recovery-seconds"), RECOVERY_SECONDS));
        }
        return lines;
    }

    private double bestBaseline(String metric) {
        return medians.entrySet().stream()
                .filter(entry -> entry.getKey().isBaseline())
                .mapToDouble(entry -> entry.getValue().get(metric))
                .min()
                .orElse(0);
    }

    private String line(String metric, double value, double bound) {
        String verdict = value <= bound ? "reached" : "missed";
        return String.format(
                Locale.ROOT, "# goal %s %s %.4g, at most %.4g: %s", scenario.label(), metric, value, bound, verdict);
    }
}
