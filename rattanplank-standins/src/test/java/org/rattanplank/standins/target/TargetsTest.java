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
    void shouldEnterRunIntoLedgerWhenBookingIsAnswered() throws Exception {
        assertEquals("b1", book("b1").path("reference").asText());
        assertEquals("b1 whole", runs());
    }

    // Symptom: the caller's connection is reset. Sequence: the booking runs, then its answer is lost. Cause: the
    // target.
    @Test
    void shouldEnterRunIntoLedgerWhenAnswerIsLost() throws Exception {
        plan("lose-answer", 0);
        assertThrows(IOException.class, () -> book("b1"));
        assertEquals("b1 whole", runs());
    }

    // Symptom: the ledger holds runs that no caller asked for. Sequence: an entry host polls a plain service for cache
    // events. Cause: the service takes the poll for a call.
    @Test
    void shouldRunNothingWhenPlainServiceIsPolled() throws Exception {
        assertTrue(desk.get("/cache-events?after=0").path("events").isArray());
        assertEquals("crew-desk", desk.get("/load").path("service").asText());
        assertEquals("", runs());
    }

    @Test
    void shouldNotRunWhenCallIsRefused() throws Exception {
        plan("refuse", 0);
        HttpResponse<String> response = desk.post("/bookings", "{\"reference\":\"b1\"}");
        assertEquals("true", response.headers().firstValue("X-Not-Run").orElse(""));
        assertEquals("", runs());
    }

    @Test
    void shouldNameAnotherRequestWhenAnswersAreCrossed() throws Exception {
        plan("wrong-id", 0);
        HttpResponse<String> response = desk.post("/bookings", "{\"reference\":\"b1\"}");
        assertFalse(response.headers().firstValue("X-Request-Id").orElse("").equals("r1"));
    }

    @Test
    void shouldResumeStreamAtPartWhenItWasCut() throws Exception {
        plan("cut-stream", 2);
        String chat = "{\"model\":\"plank-serve\",\"stream\":true,\"max_tokens\":4,\"user\":\"u\",\"messages\":[]}";
        assertThrows(IOException.class, () -> engine.post("/v1/chat/completions", chat));
        String rest = engine.client()
                .send(engine.request("/v1/streams/r1?from=2").build(), HttpResponse.BodyHandlers.ofString())
                .body();
        assertFalse(rest.contains("id: 1\n"));
        assertTrue(rest.contains("id: 2\n") && rest.contains("id: 3\n") && rest.endsWith("data: [DONE]\n\n"));
    }

    @Test
    void shouldRefuseOrderWhenFencingNumberIsOld() throws Exception {
        assertEquals(200, order(7));
        assertEquals(409, order(6));
        assertEquals(200, order(7));
    }

    @Test
    void shouldResetConnectionWhenLinkIsCut() throws Exception {
        Link link = Link.open(
                loop, Addresses.read(targets.address("crew-desk-suva-hall-1").get()));
        TestHttp far = new TestHttp(link.address());
        assertEquals(200, far.post("/bookings", "{}").statusCode());
        link.state(LinkState.cutOff());
        assertThrows(IOException.class, () -> far.post("/bookings", "{}"));
        link.state(LinkState.delayed(5));
        assertEquals(200, far.post("/bookings", "{}").statusCode());
    }

    private int order(long fencingNumber) throws Exception {
        String order = "{\"orderId\":1,\"fencingNumber\":" + fencingNumber + ",\"verb\":\"role\",\"subject\":\"x\"}";
        return engine.post("/orders", order).statusCode();
    }

    private JsonNode book(String reference) throws Exception {
        return desk.postJson("/bookings", "{\"reference\":\"" + reference + "\"}");
    }

    private void plan(String fault, int afterParts) throws Exception {
        control.post("/faults", "{\"fault\":\"" + fault + "\",\"afterParts\":" + afterParts + "}");
    }

    private String runs() throws Exception {
        StringBuilder text = new StringBuilder();
        control.get("/ledger").path("runs").forEach(run -> text.append(
                        run.path("reference").asText())
                .append(' ')
                .append(run.path("state").asText()));
        return text.toString();
    }
}
