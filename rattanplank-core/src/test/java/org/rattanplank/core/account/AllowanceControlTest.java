package org.rattanplank.core.account;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that client accounts stay within their allowances over all hosts, and are served up to them. */
class AllowanceControlTest {
    private static final String ACCOUNT = AllowanceSimulation.ACCOUNT;
    private static final int REGIONS = 3;
    private static final AllowanceBounds BOUNDS = new AllowanceBounds(8_000, 0.1, 140_000);

    /** The allowance of an account is this many times what it usually asks for. */
    private static final double USUAL_TIMES = 1.8;

    private static final double SMALL_PER_SECOND = 141_000;
    private static final double LARGE_PER_SECOND = 1_290_000;

    /** How hosts are disturbed while an account asks for several times its usual. */
    private enum Disturbance {
        NONE(9_000),
        REGIONS_CUT_OFF(9_000),
        ONE_REGION_CUT_OFF_FOR_LONG(40_000),
        HOSTS_CUT_OFF(9_000),
        MANY_HOSTS_CUT_OFF_FOR_LONG(40_000),
        HOSTS_RESTARTED(9_000),
        HOSTS_RESTARTED_IN_TURN_AFTER_A_BURST(9_000),
        HOSTS_LOST_SILENTLY(9_000);

        private final long lastsMillis;

        Disturbance(long lastsMillis) {
            this.lastsMillis = lastsMillis;
        }

        private void apply(AllowanceSimulation fleet, double perSecond) {
            switch (this) {
                case REGIONS_CUT_OFF -> fleet.connect((from, to) -> from.region == to.region);
                case ONE_REGION_CUT_OFF_FOR_LONG -> fleet.connect((from, to) -> (from.region == 0) == (to.region == 0));
                case HOSTS_CUT_OFF -> fleet.connect((from, to) -> from.number % 8 != 0 && to.number % 8 != 0);
                case MANY_HOSTS_CUT_OFF_FOR_LONG -> fleet.connect(
                        (from, to) -> from.number % 3 != 0 && to.number % 3 != 0);
                case HOSTS_RESTARTED -> restartHalf(fleet, false);
                case HOSTS_RESTARTED_IN_TURN_AFTER_A_BURST -> restartInTurnAfterABurst(fleet, perSecond);
                case HOSTS_LOST_SILENTLY -> restartHalf(fleet, true);
                default -> fleet.connect((from, to) -> true);
            }
        }

        private static void restartInTurnAfterABurst(AllowanceSimulation fleet, double perSecond) {
            fleet.run(4_000, (region, now) -> region == 0 ? 4 * perSecond : 0);
            for (int i = 0; i + 1 < fleet.hostCount() / REGIONS; i++) {
                fleet.restart(i, false);
                fleet.run(100, (region, now) -> region == 0 ? 4 * perSecond : 0);
            }
        }

        private static void restartHalf(AllowanceSimulation fleet, boolean silently) {
            for (int i = 0; i < fleet.hostCount(); i += 2) {
                fleet.restart(i, silently);
            }
        }
    }

    private static Allowance allowance(double perSecond) {
        return new Allowance(ChargeUnit.TOKENS, 200, perSecond, perSecond);
    }

    private static AllowanceSimulation fleet(int hosts, double perSecond, long seed) {
        return new AllowanceSimulation(
                REGIONS,
                Math.max(1, hosts / REGIONS),
                allowance(perSecond),
                () -> new AllowanceControl(REGIONS, BOUNDS),
                seed);
    }

    /** What is asked in a region, whose peak comes after that of the region before it. */
    private static double demand(double perSecond, int region, long nowMillis) {
        double phase = (nowMillis / 1_000.0 + 11 * region) % 34;
        double rise = phase < 3 ? phase / 3 : phase < 11 ? 1 : phase < 14 ? (14 - phase) / 3 : 0;
        return (0.17 + 2.63 * rise) * perSecond / USUAL_TIMES / REGIONS;
    }

    private static double limit(double perSecond) {
        Allowance allowance = allowance(perSecond);
        return BOUNDS.windowUnits(allowance) + BOUNDS.excessUnits(allowance);
    }

    /**
     * Guards against an account that asks for several times its allowance and gets more than is allowed over all hosts, as
     * each host or region believes that the others leave it what they use themselves.
     */
    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void shouldStayWithinTheBoundsWhenAnAccountIsHotAndHostsAreDisturbed(Disturbance disturbance) {
        for (int hosts : new int[] {3, 30, 95}) {
            for (double perSecond : new double[] {SMALL_PER_SECOND, LARGE_PER_SECOND}) {
                for (double hot : new double[] {3.5, 7.5}) {
                    AllowanceSimulation fleet = fleet(hosts, perSecond, hosts);
                    fleet.run(9_000, (region, now) -> demand(perSecond, region, now));
                    disturbance.apply(fleet, perSecond);
                    fleet.run(disturbance.lastsMillis, (region, now) -> hot * demand(perSecond, region, now));
                    fleet.connect((from, to) -> true);
                    fleet.run(12_000, (region, now) -> hot * demand(perSecond, region, now));

                    double used = fleet.mostInWindow(BOUNDS.windowMillis()) / limit(perSecond);
                    assertTrue(used <= 1, hosts + " hosts, " + perSecond + " units/s, hot " + hot + ": " + used);
                }
            }
        }
    }

    /** Guards against requests that are refused though their account asks for less than its allowance. */
    @ParameterizedTest
    @CsvSource({"3, 141000", "30, 141000", "95, 141000", "3, 1290000", "30, 1290000", "95, 1290000"})
    void shouldServeAnAccountWhenItIsWithinItsAllowanceAndThePeakMovesBetweenRegions(int hosts, double perSecond) {
        AllowanceSimulation fleet = fleet(hosts, perSecond, hosts);
        fleet.run(BOUNDS.windowMillis(), (region, now) -> 0);

        fleet.run(34_000, (region, now) -> demand(perSecond, region, now));
        assertTrue(fleet.servedOfAllowed(BOUNDS) >= 0.95, () -> String.valueOf(fleet.servedOfAllowed(BOUNDS)));
    }

    /** Guards against an allowance of which each host keeps a part that it doesn't need. */
    @ParameterizedTest
    @ValueSource(ints = {3, 30, 95})
    void shouldGetMostOfItsAllowanceWhenAnAccountIsAloneAtAHost(int hosts) {
        AllowanceSimulation fleet = fleet(hosts, LARGE_PER_SECOND, hosts);
        fleet.sendAllTo(0);
        fleet.run(2_000, (region, now) -> 0.5 * LARGE_PER_SECOND);
        long sinceMillis = fleet.nowMillis();

        fleet.run(8_000, (region, now) -> 0.5 * LARGE_PER_SECOND);

        double perSecond = fleet.admittedUnits(sinceMillis) / 8.0;
        assertTrue(perSecond >= 0.9 * LARGE_PER_SECOND, () -> String.valueOf(perSecond / LARGE_PER_SECOND));
    }

    /** Guards against a limit that was lowered and does not bind, as hosts still draw on what they had saved. */
    @Test
    void shouldBindWithinOneWindowWhenALimitIsLoweredFarBelowWhatIsAsked() {
        AllowanceSimulation fleet = fleet(30, LARGE_PER_SECOND, 1);
        fleet.run(9_000, (region, now) -> demand(LARGE_PER_SECOND, region, now));
        fleet.configure(allowance(SMALL_PER_SECOND));
        long sinceMillis = fleet.nowMillis();

        fleet.run(20_000, (region, now) -> demand(LARGE_PER_SECOND, region, now));

        long used = fleet.mostInWindow(BOUNDS.windowMillis(), sinceMillis);
        assertTrue(used <= limit(SMALL_PER_SECOND), () -> String.valueOf(used / limit(SMALL_PER_SECOND)));
    }

    @Test
    void shouldNeverRefuseWhenAnAccountHasNoLimit() {
        AllowanceControl control = new AllowanceControl(REGIONS, BOUNDS);
        control.configure(List.of(new GatewayAccount(ACCOUNT, Set.of(), 0, Allowance.UNLIMITED, Set.of())), 0);

        for (int i = 0; i < 1_000; i++) {
            assertTrue(
                    control.tryCharge(ACCOUNT, Option.some(1_000_000_000L), 0).isEmpty());
        }
    }

    @Test
    void shouldRefuseUntilEnoughHasLeftTheWindowWhenTheAllowanceIsUsedUp() {
        AllowanceControl control = new AllowanceControl(1, AllowanceBounds.EXACT);
        control.configure(List.of(account(new Allowance(ChargeUnit.REQUESTS, 0, 2, 0))), 0);

        assertTrue(control.tryCharge(ACCOUNT, Option.none(), 5_000).isEmpty());
        assertTrue(control.tryCharge(ACCOUNT, Option.none(), 5_500).isEmpty());
        AllowanceRefusal refusal =
                control.tryCharge(ACCOUNT, Option.none(), 5_900).get();

        assertEquals(2, refusal.usedUnits());
        long freeAtMillis = 5_900 + refusal.retryAfterMillis();
        assertTrue(freeAtMillis >= 6_000 && freeAtMillis < 6_100, () -> String.valueOf(freeAtMillis));
        assertTrue(control.tryCharge(ACCOUNT, Option.none(), freeAtMillis - 1).isDefined());
        assertTrue(control.tryCharge(ACCOUNT, Option.none(), freeAtMillis).isEmpty());
    }

    /** Guards against requests that are charged although they have not run. */
    @Test
    void shouldGiveBackWhatWasChargedWhenARequestHasNotRun() {
        AllowanceControl control = new AllowanceControl(1, AllowanceBounds.EXACT);
        control.configure(List.of(account(new Allowance(ChargeUnit.TOKENS, 5, 10, 0))), 0);

        for (int i = 0; i < 100; i++) {
            assertTrue(control.tryCharge(ACCOUNT, Option.some(500L), 1_000).isEmpty());
            control.refund(ACCOUNT, Option.some(500L), 1_000);
        }
        assertEquals(5, control.units(ACCOUNT, Option.none()));
        assertEquals(0, control.usage(1_000).get(0).usedUnits());
    }

    /** Guards against use of another host that counts twice, or again after the host has started anew. */
    @Test
    void shouldCountTheUseOfAnotherHostOnceWhenItReportsAgainAndRestarts() {
        AllowanceControl control = limitedTo2000Tokens();

        receiveUsage(control, 700);
        receiveUsage(control, 1_650);
        receiveUsage(control, 1_650);
        control.hostLost("h2", false, 5_000);
        receiveUsage(control, 10);

        assertTrue(control.tryCharge(ACCOUNT, Option.some(1_050L), 5_000).isEmpty());
        assertEquals(
                2_000, control.tryCharge(ACCOUNT, Option.some(1L), 5_000).get().usedUnits());
    }

    /** Guards against requests of another host that stay counted although they have not run. */
    @Test
    void shouldCountWhatAnotherHostGaveBackWhenItReportsLess() {
        AllowanceControl control = limitedTo2000Tokens();

        receiveUsage(control, 700);
        receiveUsage(control, 2_700);
        receiveUsage(control, 700);

        assertTrue(control.tryCharge(ACCOUNT, Option.some(2_000L), 5_000).isEmpty());
    }

    /** Guards against use that nobody counts, of a host that was cut off or has started again. */
    @Test
    void shouldCountWhatAnotherHostUsedMeanwhileWhenItWasSilent() {
        AllowanceControl control = limitedTo2000Tokens();
        receiveUsage(control, 700);

        control.hostLost("h2", true, 5_000);
        receiveUsage(control, 2_600);
        control.hostLost("h2", true, 5_000);
        receiveUsage(control, 10);

        assertEquals(
                1_900,
                control.tryCharge(ACCOUNT, Option.some(1_000L), 5_000).get().usedUnits(),
                1);
    }

    private static AllowanceControl limitedTo2000Tokens() {
        AllowanceControl control = new AllowanceControl(1, AllowanceBounds.EXACT);
        control.configure(List.of(account(new Allowance(ChargeUnit.TOKENS, 5, 1_000, 1_000))), 0);
        return control;
    }

    /** Reports what the host h2 has used since it started. */
    private static void receiveUsage(AllowanceControl control, long usedUnits) {
        control.usageReceived("h2", List.of(new AccountUsage(ACCOUNT, usedUnits, 0, 0, 0)), 500, 5_000);
    }

    private static GatewayAccount account(Allowance allowance) {
        return new GatewayAccount(ACCOUNT, Set.of(), 0, allowance, Set.of());
    }
}
