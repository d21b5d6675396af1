package org.rattanplank.core.gateway;

import java.util.List;

import io.vavr.control.Option;
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

    private final CallerDirectory directory = CallerDirectory.of(0);

    private static Option<CallerPlace> caller(String... homes) {
        return Option.some(new CallerPlace("labasa", "labasa-hall", List.of(homes)));
    }

    @Test
    void shouldNameOnlyHostsOfTheCallersRegionWhenThereAreSome() {
        assertEquals(List.of("b:80"), directory.list(List.of(suva, lautoka, labasa), caller("suva"), 1));
    }

    @Test
    void shouldNameHostsOfHomeRegionsWhenTheCallersRegionHasNone() {
        assertEquals(List.of("l:80"), directory.list(List.of(suva, lautoka), caller("lautoka"), 1));
    }

    @Test
    void shouldNameTheNextHomeWhenTheBestHasNoHost() {
        assertEquals(
                List.of("l:80"), directory.list(List.of(lautoka, labasaElsewhere()), caller("suva", "lautoka"), 1));
    }

    private static GatewayHost labasaElsewhere() {
        return host("x", "elsewhere");
    }

    @Test
    void shouldNameAnyHostWhenNothingHasHomes() {
        assertEquals(List.of("s:80"), directory.list(List.of(suva), caller(), 1));
    }

    /**
     * Symptom: homed requests are handed to hosts of other regions at a planned stop of all hosts in turn. Sequence: the
     * home region's hosts are stopped one after the other; for a second none of them takes callers; a host that has just
     * started, elsewhere, names itself. Cause: no other host known at this moment was taken for none at all.
     */
    @Test
    void shouldNameNoHostWhenHostsOfHomeRegionsWereThereAMomentAgo() {
        directory.list(List.of(lautoka), caller("lautoka"), 10_000);

        assertEquals(List.of(), directory.list(List.of(suva), caller("lautoka"), 12_000));
    }

    @Test
    void shouldNameNoHostOfOtherRegionsWhenItHasJustStarted() {
        assertEquals(List.of(), directory.list(List.of(suva), caller("lautoka"), 1_000));
    }

    @Test
    void shouldNameAnyHostWhenHomeRegionsHaveBeenAwayForLong() {
        assertEquals(
                List.of("s:80"),
                directory.list(List.of(suva), caller("lautoka"), CallerDirectory.ABSENCE_TIMEOUT_MILLIS));
    }

    /**
     * Symptom: homed requests at hosts of other regions, while hosts are stopped in turn. Sequence: a host has just
     * started; others have linked to it before it has read the configuration; a caller asks it. Cause: no homes were
     * taken for no restriction.
     */
    @Test
    void shouldNameNoHostWhenNoConfigurationTellsTheHomes() {
        assertEquals(List.of(), directory.list(List.of(suva, lautoka, labasa), Option.none(), 60_000));
    }

    /**
     * Symptom: homed callers at hosts of other regions, a third time. Sequence: a region's last host stops; nobody had
     * asked this host for that region for a while. Cause: the time at which a region was asked for was taken for the time
     * at which it was there.
     */
    @Test
    void shouldNameNoHostWhenTheRegionWasSeenButNotAskedForLately() {
        directory.saw(List.of(lautoka), 10_000);

        assertEquals(List.of(), directory.list(List.of(suva), caller("lautoka"), 12_000));
    }

    /**
     * Symptom: requests of routes with one home are handed to hosts of another route's home. Sequence: all hosts of the
     * callers' region are stopped in turn; the routes of their host name have homes that share no region. Cause: the
     * region of most routes was named at once, though the callers' own hosts were back a moment later.
     */
    @Test
    void shouldNameNoHostWhenNoHomeMayHaveAllAndTheCallersOwnHostsWereThereLately() {
        Option<CallerPlace> mixed =
                Option.some(new CallerPlace("labasa", "labasa-hall", List.of("suva", "lautoka"), List.of()));
        directory.saw(List.of(labasa), 10_000);

        assertEquals(List.of(), directory.list(List.of(suva, lautoka), mixed, 12_000));
        assertEquals(
                List.of("s:80"),
                directory.list(List.of(suva, lautoka), mixed, 10_000 + CallerDirectory.ABSENCE_TIMEOUT_MILLIS));
    }

    @Test
    void shouldNameAHostThatIsAboutToEndOnlyWhenNoOtherMayHaveTheRequests() {
        assertEquals(List.of("l:80"), directory.list(List.of(suva), List.of(lautoka), caller("lautoka"), 1));
        assertEquals(List.of("s:80"), directory.list(List.of(suva), List.of(labasa), caller(), 1));
    }
}
