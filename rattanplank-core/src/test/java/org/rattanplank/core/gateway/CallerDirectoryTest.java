package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.Place;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CallerDirectoryTest {
    private static GatewayHost host(String name, String region) {
        return new GatewayHost(name, 1, Place.of(region, region + "-hall"), name + ":80", name + ":90");
    }

    private final GatewayHost suva = host("s", "suva");
    private final GatewayHost lautoka = host("l", "lautoka");
    private final GatewayHost labasa = host("b", "labasa");

    @Test
    void shouldNameOnlyHostsOfTheCallersRegionWhenThereAreSome() {
        List<String> list =
                CallerDirectory.list(List.of(suva, lautoka, labasa), "labasa", "labasa-hall", Set.of("suva"), 64);

        assertEquals(List.of("b:80"), list);
    }

    @Test
    void shouldNameHostsOfHomeRegionsWhenTheCallersRegionHasNone() {
        List<String> list =
                CallerDirectory.list(List.of(suva, lautoka), "labasa", "labasa-hall", Set.of("lautoka"), 64);

        assertEquals(List.of("l:80"), list);
    }
}
