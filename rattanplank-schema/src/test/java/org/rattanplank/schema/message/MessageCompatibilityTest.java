package org.rattanplank.schema.message;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class MessageCompatibilityTest {
    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    @Test
    void shouldIgnoreUnknownFieldWhenNewerHostAddsOne() throws IOException {
        // Symptom: during a rolling upgrade, hosts of different versions treat each other as failed. Sequence: a newer
        // host sends a heartbeat with an additional field. Cause: the decoder rejects unknown fields.
        byte[] newer = MESSAGE_PACK.writeValueAsBytes(Map.of(
                "kind", "Heartbeat", "incarnation", 7, "generation", 3, "draining", true, "load", 2, "added", "x"));
        assertEquals(new Heartbeat(7, 3, true, 2, false, List.of()), MESSAGE_PACK.readValue(newer, PeerMessage.class));
    }

    @Test
    void shouldReadAbsentFieldsAsEmptyWhenOlderHostSendsFewer() throws IOException {
        byte[] older = MESSAGE_PACK.writeValueAsBytes(
                Map.of("kind", "ConfigurationPush", "generation", 3, "digest", "d", "document", "{}"));
        assertEquals(
                new ConfigurationPush(3, "d", "{}", "", 0, "", Map.of(), List.of()),
                MESSAGE_PACK.readValue(older, PeerMessage.class));
    }

    @Test
    void shouldReturnUnknownMessageWhenNewerHostSendsAnotherKind() throws IOException {
        byte[] newer = MESSAGE_PACK.writeValueAsBytes(Map.of("kind", "Gossip", "about", List.of(1, 2)));
        assertInstanceOf(UnknownMessage.class, MESSAGE_PACK.readValue(newer, PeerMessage.class));
    }

    @Test
    void shouldRestoreMessageWhenSerializedWithMessagePack() throws IOException {
        RegionSummary summary = new RegionSummary(
                "suva",
                "suva-hall",
                4,
                List.of("suva-1"),
                Map.of("plank-serve", List.of(3L, 24L, 5L, 0L)),
                List.of(new LeavingNotice("plank-2", 0, 9)));
        byte[] bytes = MESSAGE_PACK.writeValueAsBytes(summary);
        assertEquals(summary, MESSAGE_PACK.readValue(bytes, PeerMessage.class));
    }
}
