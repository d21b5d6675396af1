package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GatewayConfigurationTest {
    private final GatewayConfiguration configuration = Samples.configuration(
            3,
            Samples.route("short", "desk.example", "/a/", Set.of()),
            Samples.route("long", "desk.example", "/a/b/", Set.of("suva", "labasa")),
            Samples.route("other", "else.example", "/", Set.of("lautoka")));

    @Test
    void shouldFindTheLongestPrefixWhenSeveralRoutesMatch() {
        assertEquals("long", configuration.route("desk.example", "/a/b/c").get().name());
        assertEquals("short", configuration.route("desk.example", "/a/bc").get().name());
    }

    @Test
    void shouldIgnorePortAndCaseWhenMatchingTheHostName() {
        assertEquals(
                "short", configuration.route("DESK.example:8080", "/a/x").get().name());
    }

    @Test
    void shouldFindNothingWhenNoPrefixMatches() {
        assertTrue(configuration.route("desk.example", "/b/").isEmpty());
        assertTrue(configuration.route("nowhere.example", "/a/").isEmpty());
    }

    @Test
    void shouldReturnTheHomeRegionsOfAHostNameWhenOnlySomeOfItsRoutesHaveSome() {
        assertEquals(Set.of("suva", "labasa"), Set.copyOf(configuration.homeRegions("desk.example")));
    }

    /**
     * Guards against callers with home regions being sent to any region while their own has no host. Two routes of one
     * host name have no home region in common; it comes about when the empty intersection is taken for no home regions
     * at all.
     */
    @Test
    void shouldReturnTheRegionsOfMostRoutesFirstWhenThereIsNoCommonHomeRegion() {
        GatewayConfiguration disjoint = Samples.configuration(
                1,
                Samples.route("a", "desk.example", "/a/", Set.of("suva", "labasa")),
                Samples.route("b", "desk.example", "/b/", Set.of("suva")),
                Samples.route("c", "desk.example", "/c/", Set.of("lautoka")));

        assertEquals(List.of("suva", "labasa", "lautoka"), disjoint.homeRegions("desk.example"));
    }

    @Test
    void shouldRestrictHomeRegionsWhenAResidencyRuleNamesARouteOrItsService() {
        GatewayConfiguration byRoute = configuration.restrictedTo(Map.of("long", Set.of("labasa", "lautoka")));
        GatewayConfiguration byService = configuration.restrictedTo(Map.of(Samples.MODEL, Set.of("suva")));

        assertEquals(
                Set.of("labasa"), byRoute.route("desk.example", "/a/b/").get().homeRegions());
        assertEquals(Set.of(), byRoute.route("desk.example", "/a/").get().homeRegions());
        assertEquals(
                Set.of("suva"), byService.route("desk.example", "/a/").get().homeRegions());
    }

    @Test
    void shouldAllowNoRegionWhenTwoRulesContradictEachOther() {
        RouteRule route = configuration
                .restrictedTo(Map.of("other", Set.of("suva")))
                .route("else.example", "/")
                .get();

        assertFalse(route.allows("suva"));
        assertFalse(route.allows("lautoka"));
    }
}
