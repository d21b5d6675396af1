package org.rattanplank.core.member;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.schema.message.RegionSummary;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MembershipTest {
    private static final Location HERE = Location.of("suva", "suva-hall");
    private static final Location THERE = Location.of("labasa", "labasa-hall");
    private static final SelfReport REPORT = new SelfReport(1, false, 0, Map.of(), true);
    private static final long TICK_MILLIS = 50;

    /** Longer than a data centre may be silent, and than two views of a departure may differ. */
    private static final long SILENT_MILLIS = 10_000;

    private final Membership membership = Membership.of(new NodeIdentity("s1", 1, HERE));
    private long nowMillis = 1_000;

    @BeforeEach
    void listHosts() {
        List<ListedHost> hosts =
                List.of(entryHost("s1", HERE), entryHost("s2", HERE), entryHost("l1", THERE), entryHost("l2", THERE));
        membership.updateHostList(new HostList(1, hosts), nowMillis);
        membership.connected("l1", 1, THERE, nowMillis);
    }

    /** Guards against a departure that another data centre never learns, as the link was lost after it had been sent. */
    @Test
    void shouldSendTheSummaryAgainWhenTheLinkWasLostMeanwhile() {
        assertTrue(sendsSummary(tick()));
        assertFalse(sendsSummary(tick()));
        membership.disconnected("l1", false, nowMillis);

        membership.connected("l1", 1, THERE, nowMillis);

        assertTrue(sendsSummary(tick()));
    }

    /** Guards against a host that has left and is named again, as a host passes on what it was told before a partition. */
    @Test
    void shouldPassOnNoSummaryWhenItsDataCentreHasBeenSilentSince() {
        membership.receive("l1", 1, summaryOf("l1", "l2"), nowMillis);
        assertTrue(sendsSummary(membership.connected("s2", 1, HERE, nowMillis)));
        membership.disconnected("s2", false, nowMillis);
        for (long end = nowMillis + SILENT_MILLIS; nowMillis < end; ) {
            tick();
        }

        assertFalse(sendsSummary(membership.connected("s2", 2, HERE, nowMillis)));
    }

    private List<MemberAction> tick() {
        nowMillis += TICK_MILLIS;
        return membership.tick(REPORT, nowMillis);
    }

    private static boolean sendsSummary(List<MemberAction> actions) {
        return actions.stream()
                .anyMatch(
                        action -> action instanceof MemberAction.Send send && send.message() instanceof RegionSummary);
    }

    private static RegionSummary summaryOf(String... hosts) {
        return new RegionSummary(THERE.region(), THERE.dataCentre(), 1, List.of(hosts), Map.of(), List.of());
    }

    private static ListedHost entryHost(String name, Location location) {
        return new ListedHost(name, HostRole.ENTRY, location, "10.0.0.1", 1, 2, "", false);
    }
}
