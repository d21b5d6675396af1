package org.rattanplank.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;

/**
 * One target: its executor, load reports, orders and planned faults.
 *
 * <p>Invariant: the highest fencing number received never decreases. Confined to the targets' thread.
 */
final class Target {
    private static final String LOAD_PATH = "/load";
    private static final String ORDERS_PATH = "/orders";

    private final String name;
    private final String service;
    private final TargetOptions options;
    private final EventLoop loop;
    private final RequestExecutor executor;
    private final Deque<PlannedFault> faults = new ArrayDeque<>();
    private final Set<String> models = new TreeSet<>();
    private String role = "";
    private long highestFencingNumber;
    private boolean leaving;
    private ObjectNode loadReport;
    private long loadReportedAtMillis;

    private Target(String name, String service, boolean model, TargetOptions options, EventLoop loop, Ledger ledger) {
        this.name = name;
        this.service = service;
        this.options = options;
        this.loop = loop;
        executor = model
                ? new ModelEngine(loop, options, call -> ledger.start(name, options.region, call))
                : new PlainService(loop, options, call -> ledger.start(name, options.region, call));
        models.addAll(options.loadedModels);
        updateLoadReport();
        loop.scheduleAtFixedRate(options.loadLagMillis, this::updateLoadReport);
    }

    static Target model(String name, String service, TargetOptions options, EventLoop loop, Ledger ledger) {
        return new Target(name, service, true, options, loop, ledger);
    }

    static Target plain(String name, String service, TargetOptions options, EventLoop loop, Ledger ledger) {
        return new Target(name, service, false, options, loop, ledger);
    }

    String name() {
        return name;
    }

    String service() {
        return service;
    }

    void addFault(PlannedFault fault) {
        faults.add(fault);
    }

    void clearFaults() {
        faults.clear();
    }

    void leaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    void handle(Exchange exchange) {
        if (exchange.path().equals(LOAD_PATH)) {
            exchange.respond(200, load());
        } else if (exchange.path().equals(ORDERS_PATH) && exchange.method().equals("POST")) {
            handleOrder(exchange, exchange.jsonBody());
        } else if (!executor.handleControl(exchange)) {
            start(exchange);
        }
    }

    private void start(Exchange exchange) {
        Call call = Call.of(exchange, nextFault());
        if (leaving) {
            call.reject(503, "leaving");
        } else if (call.fault().kind().rejects()) {
            call.reject(503, "refused by a planned fault");
        } else {
            executor.start(call);
        }
    }

    private PlannedFault nextFault() {
        if (faults.isEmpty()) {
            return PlannedFault.none();
        }
        PlannedFault fault = faults.poll();
        if (fault.remainingCalls() > 1) {
            faults.addFirst(fault.withOneCallFewer());
        }
        return fault;
    }

    private void updateLoadReport() {
        ArrayNode modelNames = Json.array();
        models.forEach(modelNames::add);
        ObjectNode updated = Json.object().put("service", service);
        updated.set("models", modelNames);
        updated.put("running", executor.runningCount())
                .put("queued", executor.queuedCount())
                .put("slots", options.slots)
                .put("leaving", leaving)
                .put("role", role);
        executor.addLoadFields(updated);
        loadReport = updated;
        loadReportedAtMillis = System.currentTimeMillis();
    }

    private ObjectNode load() {
        return loadReport.deepCopy().put("ageMillis", System.currentTimeMillis() - loadReportedAtMillis);
    }

    private void setRole(String newRole) {
        role = newRole;
    }

    private void handleOrder(Exchange exchange, JsonNode order) {
        long fencingNumber = order.path("fencingNumber").asLong();
        if (options.checksFencing && fencingNumber < highestFencingNumber) {
            exchange.respond(409, Json.object().put("error", "an order with a higher fencing number came before"));
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        String subject = order.path("subject").asText();
        switch (order.path("verb").asText()) {
            case "load" -> loop.schedule(options.loadModelMillis, () -> models.add(subject));
            case "unload" -> models.remove(subject);
            case "role" -> setRole(subject);
            default -> {
                exchange.respond(422, Json.object().put("error", "no such verb"));
                return;
            }
        }
        exchange.respond(200, Map.of(), Json.object().set("orderId", order.path("orderId")));
    }
}
