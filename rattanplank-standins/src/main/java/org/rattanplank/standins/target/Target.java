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
 * One target: its work, its reports of load, its orders and its faults.
 *
 * <p>Invariant: the highest fencing number that it has seen never falls. Confined to the targets' thread.
 */
final class Target {
    private static final String LOAD = "/load";
    private static final String ORDERS = "/orders";

    private final String name;
    private final String service;
    private final TargetOptions options;
    private final EventLoop loop;
    private final Work work;
    private final Deque<PlannedFault> faults = new ArrayDeque<>();
    private final Set<String> models = new TreeSet<>();
    private String role = "";
    private long highestFencingNumber;
    private boolean leaving;
    private ObjectNode report;
    private long reportedAtMillis;

    private Target(String name, String service, boolean model, TargetOptions options, EventLoop loop, Ledger ledger) {
        this.name = name;
        this.service = service;
        this.options = options;
        this.loop = loop;
        work = model
                ? new ModelEngine(loop, options, call -> ledger.start(name, options.region, call))
                : new PlainService(loop, options, call -> ledger.start(name, options.region, call));
        models.addAll(options.loaded);
        measure();
        loop.every(options.loadLagMillis, this::measure);
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

    void plan(PlannedFault fault) {
        faults.add(fault);
    }

    void forgetFaults() {
        faults.clear();
    }

    void leaving(boolean newer) {
        leaving = newer;
    }

    void handle(Exchange exchange) {
        if (exchange.path().equals(LOAD)) {
            exchange.respond(200, load());
        } else if (exchange.path().equals(ORDERS) && exchange.method().equals("POST")) {
            order(exchange, exchange.json());
        } else if (!work.control(exchange)) {
            start(exchange);
        }
    }

    private void start(Exchange exchange) {
        Call call = Call.of(exchange, nextFault());
        if (leaving) {
            call.refuse(503, "leaving");
        } else if (call.fault().kind().refuses()) {
            call.refuse(503, "refused by a planned fault");
        } else {
            work.start(call);
        }
    }

    private PlannedFault nextFault() {
        if (faults.isEmpty()) {
            return PlannedFault.none();
        }
        PlannedFault fault = faults.poll();
        if (fault.next() > 1) {
            faults.addFirst(fault.withOneLess());
        }
        return fault;
    }

    private void measure() {
        ArrayNode loaded = Json.array();
        models.forEach(loaded::add);
        ObjectNode measured = Json.object().put("service", service);
        measured.set("models", loaded);
        measured.put("running", work.running())
                .put("queued", work.queued())
                .put("slots", options.slots)
                .put("leaving", leaving)
                .put("role", role);
        work.describe(measured);
        report = measured;
        reportedAtMillis = System.currentTimeMillis();
    }

    private ObjectNode load() {
        return report.deepCopy().put("ageMillis", System.currentTimeMillis() - reportedAtMillis);
    }

    private void takeRole(String newer) {
        role = newer;
    }

    private void order(Exchange exchange, JsonNode order) {
        long fencingNumber = order.path("fencingNumber").asLong();
        if (options.checksFencing && fencingNumber < highestFencingNumber) {
            exchange.respond(409, Json.object().put("error", "an order with a higher fencing number came before"));
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        String subject = order.path("subject").asText();
        switch (order.path("verb").asText()) {
            case "load" -> loop.after(options.loadModelMillis, () -> models.add(subject));
            case "unload" -> models.remove(subject);
            case "role" -> takeRole(subject);
            default -> {
                exchange.respond(422, Json.object().put("error", "no such verb"));
                return;
            }
        }
        exchange.respond(200, Map.of(), Json.object().set("orderId", order.path("orderId")));
    }
}
