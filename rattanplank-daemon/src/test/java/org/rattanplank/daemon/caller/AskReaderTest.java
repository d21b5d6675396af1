package org.rattanplank.daemon.caller;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.intent.Configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AskReaderTest {

    /*
     * Symptom: callers with a sound token give up for good when a host has just started. Sequence: a new host opens its
     * port before it has learned a configuration; a caller asks. Cause: without accounts every token is unknown.
     */
    @Test
    void shouldSayWhenToComeBackWhenNoConfigurationIsInForce() {
        HttpAsk ask = new HttpAsk(
                "POST", AskReader.CHAT, "", Map.of("Authorization", "Bearer suva-floor-token"), new byte[0]);
        Refusal refusal = new AskReader(new Tokens(), 1_000, 2_000)
                .read(ask, Configuration.empty(), 0)
                .getLeft();
        assertEquals(Refusal.UNAVAILABLE, refusal.status());
        assertTrue(refusal.retryAfterMillis() > 0);
    }
}
