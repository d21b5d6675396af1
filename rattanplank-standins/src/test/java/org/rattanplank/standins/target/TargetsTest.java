package org.rattanplank.standins.target;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanplank.standins.TestHttp;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.link.Link;
import org.rattanplank.standins.link.LinkState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetsTest {
    private final EventLoop loop = EventLoop.of();
    private Targets targets;
    private TestHttp engine;
    private TestHttp desk;
    private TestHttp control;

    @BeforeEach
    void serve() {
        TargetOptions options = new TargetOptions();
        options.region = "suva";
        options.dataCentre = "suva-hall";
        options.modelServices = List.of("plank-serve:1");
        options.plainServices = List.of("crew-desk:1");
        options.checksFencing = true;
        targets = Targets.serve(loop, options);
        engine = new TestHttp(targets.address("plank-serve-suva-hall-1").get());
        desk = new TestHttp(targets.address("crew-desk-suva-hall-1").get());
        control = new TestHttp(targets.controlAddress());
    }

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void shouldRecordExecutionWhenBookingIsAnswered() throws Exception {
        assertEquals("b1", book("b1").path("reference").asText());
        assertEquals("b1 whole", executions());
    }

    // Guards against a ledger that misses an execution whose response is lost: the booking is executed, then the target
    // resets the caller's connection.
    @Test
    void shouldRecordExecutionWhenResponseIsLost() throws Exception {
        planFault("lose-answer", 0);
        assertThrows(IOException.class, () -> book("b1"));
        assertEquals("b1 whole", executions());
    }

    // Guards against executions in the ledger that no caller requested: an entry host polls a plain service for cache
    // events, and the service takes the poll for a call.
    @Test
    void shouldExecuteNothingWhenPlainServiceIsPolled() throws Exception {
        assertTrue(desk.get("/cache-events?after=0").path("events").isArray());
        assertEquals("crew-desk", desk.get("/load").path("service").asText());
        assertEquals("", executions());
    }

    @Test
    void shouldNotExecuteCallWhenItIsRejected() throws Exception {
        planFault("refuse", 0);
        HttpResponse<String> response = desk.post("/bookings", "{\"reference\":\"b1\"}");
        assertEquals("true", response.headers().firstValue("X-Not-Run").orElse(""));
        assertEquals("", executions());
    }

    @Test
    void shouldSendAnotherRequestIdWhenFaultIsWrongId() throws Exception {
        planFault("wrong-id", 0);
        HttpResponse<String> response = desk.post("/bookings", "{\"reference\":\"b1\"}");
        assertFalse(response.headers().firstValue("X-Request-Id").orElse("").equals("r1"));
    }

    @Test
    void shouldResumeStreamAtEventWhenConnectionWasReset() throws Exception {
        planFault("cut-stream", 2);
        String chat = "{\"model\":\"plank-serve\",\"stream\":true,\"max_tokens\":4,\"user\":\"u\",\"messages\":[]}";
        assertThrows(IOException.class, () -> engine.post("/v1/chat/completions", chat));
        String resumed = engine.client()
                .send(engine.request("/v1/streams/r1?from=2").build(), HttpResponse.BodyHandlers.ofString())
                .body();
        assertFalse(resumed.contains("id: 1\n"));
        assertTrue(resumed.contains("id: 2\n") && resumed.contains("id: 3\n") && resumed.endsWith("data: [DONE]\n\n"));
    }

    @Test
    void shouldRejectOrderWhenFencingNumberIsStale() throws Exception {
        assertEquals(200, order(7));
        assertEquals(409, order(6));
        assertEquals(200, order(7));
    }

    @Test
    void shouldResetConnectionWhenLinkIsPartitioned() throws Exception {
        Link link = Link.open(
                loop, Addresses.parse(targets.address("crew-desk-suva-hall-1").get()));
        TestHttp linked = new TestHttp(link.address());
        assertEquals(200, linked.post("/bookings", "{}").statusCode());
        link.state(LinkState.partitioned());
        assertThrows(IOException.class, () -> linked.post("/bookings", "{}"));
        link.state(LinkState.delayed(5));
        assertEquals(200, linked.post("/bookings", "{}").statusCode());
    }

    private int order(long fencingNumber) throws Exception {
        String order = "{\"orderId\":1,\"fencingNumber\":" + fencingNumber + ",\"verb\":\"role\",\"subject\":\"x\"}";
        return engine.post("/orders", order).statusCode();
    }

    private JsonNode book(String reference) throws Exception {
        return desk.postJson("/bookings", "{\"reference\":\"" + reference + "\"}");
    }

    private void planFault(String fault, int afterEvents) throws Exception {
        control.post("/faults", "{\"fault\":\"" + fault + "\",\"afterParts\":" + afterEvents + "}");
    }

    private String executions() throws Exception {
        StringBuilder text = new StringBuilder();
        control.get("/ledger").path("runs").forEach(execution -> text.append(
                        execution.path("reference").asText())
                .append(' ')
                .append(execution.path("state").asText()));
        return text.toString();
    }
}
