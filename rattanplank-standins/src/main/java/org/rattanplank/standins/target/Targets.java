package org.rattanplank.standins.target;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.platform.HostsClient;

/**
 * A process of targets, each on its own port, with a further port by which tests control them.
 *
 * <p>The control port serves {@code GET /ledger}, {@code POST /faults} and {@code POST /leaving}. Confined to its event
 * loop's thread once it serves.
 */
public final class Targets {
    private final EventLoop loop;
    private final TargetOptions options;
    private final Ledger ledger = new Ledger();
    private final Map<Target, String> addresses = new LinkedHashMap<>();
    private String controlAddress = "";

    private Targets(EventLoop loop, TargetOptions options) {
        this.loop = loop;
        this.options = options;
    }

    /**
     * Starts serving the targets of the options.
     *
     * @param loop the event loop that serves them
     * @param options the options
     * @return the targets
     */
    public static Targets serve(EventLoop loop, TargetOptions options) {
        Targets targets = new Targets(loop, options);
        options.modelServices.forEach(service -> targets.addService(service, true));
        options.plainServices.forEach(service -> targets.addService(service, false));
        targets.controlAddress = Addresses.format(loop.serve(0, targets::handleControl));
        return targets;
    }

    /**
     * Runs the targets until the process is terminated.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        TargetOptions options = new TargetOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        Targets targets = serve(EventLoop.of(), options);
        targets.addresses.forEach((target, address) -> System.out.println(
                "target ready name=" + target.name() + " service=" + target.service() + " address=" + address));
        System.out.println("targets ready control=" + targets.controlAddress);
    }

    /**
     * Returns the address of the control port.
     *
     * @return the address as IP:PORT
     */
    public String controlAddress() {
        return controlAddress;
    }

    /**
     * Returns the address of a target.
     *
     * @param name the target's name
     * @return the address as IP:PORT, or none
     */
    public Option<String> address(String name) {
        return Option.ofOptional(addresses.entrySet().stream()
                .filter(entry -> entry.getKey().name().equals(name))
                .map(Map.Entry::getValue)
                .findFirst());
    }

    private void addService(String serviceAndCount, boolean model) {
        String service = serviceAndCount.substring(0, serviceAndCount.indexOf(':'));
        int count = Integer.parseInt(serviceAndCount.substring(service.length() + 1));
        for (int i = 1; i <= count; i++) {
            String name = service + "-" + options.dataCentre + "-" + i;
            Target target = model
                    ? Target.model(name, service, options, loop, ledger)
                    : Target.plain(name, service, options, loop, ledger);
            InetSocketAddress address = loop.serve(0, target::handle);
            addresses.put(target, Addresses.format(address));
            register(target, address);
        }
    }

    private void register(Target target, InetSocketAddress address) {
        if (options.platform.isEmpty()) {
            return;
        }
        ObjectNode host = Json.object()
                .put("role", "target")
                .put("region", options.region)
                .put("dataCentre", options.dataCentre)
                .put("address", address.getAddress().getHostAddress())
                .put("port", address.getPort())
                .put("peerPort", 0)
                .put("service", target.service())
                .put("leaving", false);
        HostsClient.of(options.platform).put(target.name(), host);
    }

    private void handleControl(Exchange exchange) {
        JsonNode body = exchange.jsonBody();
        switch (exchange.path()) {
            case "/ledger" -> exchange.respond(200, ledger.toJson());
            case "/faults" -> {
                selectTargets(body).forEach(target -> planFault(target, body));
                exchange.respond(200, Json.object());
            }
            case "/leaving" -> {
                boolean leaving = body.path("leaving").asBoolean(true);
                selectTargets(body).forEach(target -> target.leaving(leaving));
                exchange.respond(200, Json.object());
            }
            default -> exchange.respond(404, Json.object().put("error", "nothing at " + exchange.path()));
        }
    }

    private static void planFault(Target target, JsonNode body) {
        if (body.path("forget").asBoolean(false)) {
            target.clearFaults();
        }
        PlannedFault.of(body).forEach(target::addFault);
    }

    private List<Target> selectTargets(JsonNode body) {
        String name = body.path("target").asText();
        String service = body.path("service").asText();
        return addresses.keySet().stream()
                .filter(target -> name.isEmpty() || target.name().equals(name))
                .filter(target -> service.isEmpty() || target.service().equals(service))
                .toList();
    }
}
