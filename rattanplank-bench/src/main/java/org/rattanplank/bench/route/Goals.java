package org.rattanplank.bench.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.rattanplank.core.route.Policy;

/**
 * Compares the median metrics of one scenario with the goals. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param scenario the scenario
 * @param medians the median metrics by policy
 */
record Goals(Deployment deployment, Scenario scenario, Map<Policy, Map<String, Double>> medians) {
    private static final double MAX_SHARE_AWAY_RATIO = 0.5;
    private static final double MAX_COST_RATIO = 0.85;
    private static final double MAX_TAIL_LATENCY_RATIO = 0.7;
    private static final double MAX_ATTEMPTS_PER_REQUEST = 1.1;
    private static final double MAX_RECOVERY_SECONDS = 10;

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        Map<String, Double> productMetrics = medians.get(deployment.policy);
        Map<String, Double> leastReportedMetrics = medians.get(Policy.LEAST_REPORTED);
        if (deployment == Deployment.KORO) {
            lines.add(goalLine(
                    "share-away",
                    productMetrics.get("share-away"),
                    MAX_SHARE_AWAY_RATIO * leastReportedMetrics.get("share-away")));
            String cost = "cost-seconds-per-100-answers";
            lines.add(goalLine(cost, productMetrics.get(cost), MAX_COST_RATIO * leastReportedMetrics.get(cost)));
        } else {
            for (String metric : List.of("first-token-p99-ms", "whole-p99-ms", "interactive-whole-p99-ms")) {
                lines.add(goalLine(metric, productMetrics.get(metric), MAX_TAIL_LATENCY_RATIO * bestBaseline(metric)));
            }
        }
        lines.add(
                goalLine("attempts-per-request", productMetrics.get("attempts-per-request"), MAX_ATTEMPTS_PER_REQUEST));
        lines.add(goalLine("unfair-accounts", productMetrics.get("unfair-accounts"), 0));
        if (productMetrics.containsKey("recovery-seconds")) {
            lines.add(goalLine("recovery-seconds", productMetrics.get("recovery-seconds"), MAX_RECOVERY_SECONDS));
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

    private String goalLine(String metric, double value, double bound) {
        String verdict = value <= bound ? "reached" : "missed";
        return String.format(
                Locale.ROOT, "# goal %s %s %.4g, at most %.4g: %s", scenario.label(), metric, value, bound, verdict);
    }
}
