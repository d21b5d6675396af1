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

    private List<MemberAction> tick() {
        nowMillis += TICK_MILLIS;
        return membership.tick(REPORT, nowMillis);
    }

    private static boolean sendsSummary(List<MemberAction> actions) {
        return actions.stream()
                .anyMatch(
                        action -> action instanceof MemberAction.Send send && send.message() instanceof RegionSummary);
    }

    private static ListedHost entryHost(String name, Location location) {
        return new ListedHost(name, HostRole.ENTRY, location, "10.0.0.1", 1, 2, "", false);
    }
}
