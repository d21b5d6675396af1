package org.rattanplank.daemon.caller;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.intent.Configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestParserTest {

    /*
     * Guards against callers with a valid token that stop retrying at a newly started host: it opens its port before it
     * has received a configuration, and without client accounts every token is unknown.
     */
    @Test
    void shouldSetRetryAfterWhenNoConfigurationIsInEffect() {
        CallerRequest callerRequest = new CallerRequest(
                "POST", RequestParser.CHAT_PATH, "", Map.of("Authorization", "Bearer suva-floor-token"), new byte[0]);
        Rejection rejection = new RequestParser(new TokenAuthenticator(), 1_000, 2_000)
                .parse(callerRequest, Configuration.empty(), 0)
                .getLeft();
        assertEquals(Rejection.UNAVAILABLE, rejection.status());
        assertTrue(rejection.retryAfterMillis() > 0);
    }
}
