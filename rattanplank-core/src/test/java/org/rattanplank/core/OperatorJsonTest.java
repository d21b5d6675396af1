package org.rattanplank.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the field names of the JSON that operators read from a host. */
class OperatorJsonTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Location LOCATION = Location.of("suva", "suva-hall");

    private static void assertHallIsInPlace(Object value) {
        JsonNode json = JSON.valueToTree(value);
        assertEquals("suva-hall", json.at("/place/dataCentre").asText(), json::toString);
    }

    /** Guards against a renamed record component that renames the field of the status. */
    @Test
    void shouldNameLocationPlaceWhenIdentityIsWritten() {
        assertHallIsInPlace(new NodeIdentity("suva-1", 1, LOCATION));
    }

    /** Guards against a renamed record component that renames the field of the status. */
    @Test
    void shouldNameLocationPlaceWhenListedHostIsWritten() {
        assertHallIsInPlace(new ListedHost("t1", HostRole.TARGET, LOCATION, "127.0.0.1", 80, 0, "desk", false));
    }
}
