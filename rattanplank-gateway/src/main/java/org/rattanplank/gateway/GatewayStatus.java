package org.rattanplank.gateway;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.gateway.pass.GatewayState;

/**
 * The status of a gateway process for operators, in the JSON format that the command line tool reads. Immutable and
 * thread safe.
 *
 * @param host the host
 * @param generation the generation of the intents in force
 * @param configurationVersion the version of the configuration in force
 * @param inFlight the number of callers' requests in progress
 * @param draining whether it accepts no callers
 * @param targets the number of targets that accept requests, by service
 * @param leaving the hosts and targets that intents retire
 */
record GatewayStatus(
        GatewayHost host,
        long generation,
        long configurationVersion,
        int inFlight,
        boolean draining,
        Map<String, Integer> targets,
        Set<String> leaving) {
    private static final JsonFactory JSON = new JsonFactory();

    GatewayStatus {
        Objects.requireNonNull(host, "host");
        targets = Map.copyOf(targets);
        leaving = Set.copyOf(leaving);
    }

    static GatewayStatus of(GatewayState state, int inFlight, boolean draining) {
        Map<String, Integer> targets = new TreeMap<>();
        state.pool().all().stream()
                .filter(target -> !target.isLeaving())
                .forEach(target -> targets.merge(target.entry().service(), 1, Integer::sum));
        return new GatewayStatus(
                state.self(),
                state.intents().generation(),
                state.configurationVersion(),
                inFlight,
                draining,
                targets,
                state.intents().retiring());
    }

    String toJson() {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeObjectFieldStart("identity");
            json.writeStringField("host", host.name());
            json.writeObjectFieldStart("place");
            json.writeStringField("region", host.location().region());
            json.writeStringField("dataCentre", host.location().dataCentre());
            json.writeEndObject();
            json.writeEndObject();
            json.writeNumberField("generation", generation);
            json.writeNumberField("configurationVersion", configurationVersion);
            json.writeNumberField("inFlight", inFlight);
            json.writeBooleanField("draining", draining);
            json.writeObjectFieldStart("targetsTakingWork");
            for (Map.Entry<String, Integer> service : targets.entrySet()) {
                json.writeNumberField(service.getKey(), service.getValue());
            }
            json.writeEndObject();
            json.writeArrayFieldStart("leaving");
            for (String name : leaving) {
                json.writeString(name);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("unexpected I/O error while writing to memory", e);
        }
        return text.toString();
    }
}
