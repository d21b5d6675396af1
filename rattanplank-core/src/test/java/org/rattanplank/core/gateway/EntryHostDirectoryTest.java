package org.rattanplank.core.gateway;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;

class EntryHostDirectoryTest {
    private static GatewayHost host(String name, String region) {
        return new GatewayHost(name, 1, Location.of(region, region + "-hall"), name + ":80", name + ":90");
    }

    private final GatewayHost suva = host("s", "suva");
    private final GatewayHost lautoka = host("l", "lautoka");
    private final GatewayHost labasa = host("b", "labasa");

    private final EntryHostDirectory directory = EntryHostDirectory.of(0);

    private static Option<CallerLocation> caller(String... homes) {
        return Option.some(new CallerLocation("labasa", "labasa-hall", List.of(homes)));
    }

    @Test
    void shouldListOnlyHostsOfTheCallersRegionWhenThereAreSome() {
        assertEquals(List.of("b:80"), directory.list(List.of(suva, lautoka, labasa), caller("suva"), 1));
    }

    @Test
    void shouldListHostsOfHomeRegionsWhenTheCallersRegionHasNone() {
        assertEquals(List.of("l:80"), directory.list(List.of(suva, lautoka), caller("lautoka"), 1));
    }

    @Test
    void shouldListTheNextHomeRegionWhenTheBestHasNoHost() {
        assertEquals(
                List.of("l:80"), directory.list(List.of(lautoka, labasaElsewhere()), caller("suva", "lautoka"), 1));
    }

    private static GatewayHost labasaElsewhere() {
        return host("x", "elsewhere");
    }

    @Test
    void shouldListAnyHostWhenNoRouteHasHomeRegions() {
        assertEquals(List.of("s:80"), directory.list(List.of(suva), caller(), 1));
    }

    /**
     * Guards against requests with home regions being sent to hosts of other regions during a rolling stop. All hosts
     * of the home region are stopped in turn, so that for a second none of them accepts callers; it comes about when a
     * host that has just started elsewhere takes the absence of another known host at this moment for a region without
     * hosts.
     */
    @Test
    void shouldListNoHostWhenHomeRegionsHadHostsRecently() {
        directory.list(List.of(lautoka), caller("lautoka"), 10_000);

        assertEquals(List.of(), directory.list(List.of(suva), caller("lautoka"), 12_000));
    }

    @Test
    void shouldListNoHostOfOtherRegionsWhenItHasJustStarted() {
        assertEquals(List.of(), directory.list(List.of(suva), caller("lautoka"), 1_000));
    }

    @Test
    void shouldListAnyHostWhenHomeRegionsHaveBeenAbsentForLong() {
        assertEquals(
                List.of("s:80"),
                directory.list(List.of(suva), caller("lautoka"), EntryHostDirectory.ABSENCE_TIMEOUT_MILLIS));
    }

    /**
     * Guards against requests with home regions being sent to hosts of other regions during a rolling stop. A host that
     * has just started has connections to other hosts before it has read the configuration; it comes about when missing
     * home regions are taken for no restriction.
     */
    @Test
    void shouldListNoHostWhenTheHomeRegionsAreUnknown() {
        assertEquals(List.of(), directory.list(List.of(suva, lautoka, labasa), Option.none(), 60_000));
    }

    /**
     * Guards against callers with a home region being sent elsewhere when a region's last host stops and nobody has
     * requested that region from this host recently. It comes about when the time of the last request for a region is
     * taken for the time at which the region last had hosts.
     */
    @Test
    void shouldListNoHostWhenTheRegionHadHostsButWasNotRequestedRecently() {
        directory.recordHosts(List.of(lautoka), 10_000);

        assertEquals(List.of(), directory.list(List.of(suva), caller("lautoka"), 12_000));
    }

    /**
     * Guards against requests of routes with one home region being sent to another route's home during a rolling stop
     * of all hosts of the callers' region. The routes of their host name have no home region in common; it comes about
     * when the region of most routes is listed at once, although the callers' own hosts are back a moment later.
     */
    @Test
    void shouldListNoHostWhenNoHomeRegionMayServeAllAndTheCallersRegionHadHostsRecently() {
        Option<CallerLocation> withoutCommonHome =
                Option.some(new CallerLocation("labasa", "labasa-hall", List.of("suva", "lautoka"), List.of()));
        directory.recordHosts(List.of(labasa), 10_000);

        assertEquals(List.of(), directory.list(List.of(suva, lautoka), withoutCommonHome, 12_000));
        assertEquals(
                List.of("s:80"),
                directory.list(
                        List.of(suva, lautoka), withoutCommonHome, 10_000 + EntryHostDirectory.ABSENCE_TIMEOUT_MILLIS));
    }

    @Test
    void shouldListAClosingHostOnlyWhenNoOtherMayServeTheRequests() {
        assertEquals(List.of("l:80"), directory.list(List.of(suva), List.of(lautoka), Set.of(), caller("lautoka"), 1));
        assertEquals(List.of("s:80"), directory.list(List.of(suva), List.of(labasa), Set.of(), caller(), 1));
    }

    private List<String> listWithSilent(Set<GatewayHost> silent, GatewayHost... hosts) {
        return directory.list(List.of(hosts), List.of(), silent, caller("suva"), 60_000);
    }

    /** Guards against callers that wait for a connection to a host that has just lost power. */
    @Test
    void shouldLeaveOutASilentHostWhenAnotherOfTheDataCentreResponds() {
        GatewayHost other = host("c", "labasa");

        assertEquals(List.of("c:80"), listWithSilent(Set.of(labasa), suva, labasa, other));
    }

    /** Guards against callers of a data centre without power that are sent to its hosts alone. */
    @Test
    void shouldListTheRestOfTheRegionWhenAllHostsOfTheDataCentreAreSilent() {
        GatewayHost store = new GatewayHost("d", 1, Location.of("labasa", "labasa-store"), "d:80", "d:90");

        assertEquals(List.of("d:80"), listWithSilent(Set.of(labasa), suva, labasa, store));
    }

    /** Guards against callers sent out of their region for a host that is only late. */
    @Test
    void shouldListSilentHostsWhenNoOtherOfTheRegionResponds() {
        assertEquals(List.of("b:80"), listWithSilent(Set.of(labasa), suva, labasa));
    }
}
