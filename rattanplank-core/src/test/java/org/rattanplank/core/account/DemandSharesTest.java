package org.rattanplank.core.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DemandSharesTest {
    private static final String ACCOUNT = "brewers";
    private static final Allowance ALLOWANCE = new Allowance(ChargeUnit.TOKENS, 200, 100_000, 100_000);
    private static final double ALL_UNITS = 900_000;
    private static final long WINDOW_MILLIS = 8_000;
    private static final long UNRESPONSIVE_MILLIS = 1_600;
    private static final double ROUNDING = 1e-3;

    private static AccountDemand demand(double perSecond, double usedUnits) {
        return new AccountDemand(ACCOUNT, perSecond, usedUnits);
    }

    private static double share(DemandShares shares, double demandPerSecond, long nowMillis) {
        return shares.units(ACCOUNT, ALLOWANCE, ALL_UNITS, demandPerSecond, nowMillis) / ALL_UNITS;
    }

    /**
     * Guards against regions that together use more than the whole allowance: each takes more at once when its demand grows,
     * while the others still count its old demand, most of all when they are cut off from each other.
     */
    @Property(tries = 500, seed = "31416")
    void shouldNotUseMoreThanAllInAnyWindowWhenReportsAreLateOrLost(
            @ForAll @IntRange(min = 2, max = 6) int regions, @ForAll long seed) {
        Fleet fleet = new Fleet(regions, new Random(seed));
        fleet.connectAll();
        for (int i = 0; i < 600; i++) {
            fleet.step();
            assertTrue(fleet.usedUnits() <= ALL_UNITS + 1, () -> "seed " + seed + ": " + fleet.usedUnits());
        }
    }

    @Test
    void shouldDivideEvenlyWhenNothingIsAskedYet() {
        assertEquals(1.0 / 3, share(new DemandShares(3, WINDOW_MILLIS), 90_000, 0), ROUNDING);
    }

    @Test
    void shouldFollowDemandWhenTheOtherRegionsHaveAcknowledgedIt() {
        DemandShares shares = new DemandShares(2, WINDOW_MILLIS);
        shares.sent("lautoka", "h1", List.of(demand(150_000, 0)), 1_000);
        shares.received("lautoka", "h1", List.of(demand(50_000, 0)), 1_000);

        assertEquals(0.75, share(shares, 150_000, 1_500), ROUNDING);
    }

    /** Guards against a peak that moves from one region to another, and is used up by both in one window. */
    @Test
    void shouldLeaveWhatAnotherRegionHasUsedWhenItAsksForNoMore() {
        DemandShares shares = new DemandShares(2, WINDOW_MILLIS);
        shares.sent("lautoka", "h1", List.of(demand(300_000, 0)), 1_000);
        shares.received("lautoka", "h1", List.of(demand(0, 700_000)), 1_000);

        assertEquals(200_000 / ALL_UNITS, share(shares, 300_000, 1_500), ROUNDING);
    }

    /** Guards against a region that is cut off and takes over what the others still use. */
    @Test
    void shouldKeepItsShareWhenItIsCutOffAndItsDemandGrows() {
        DemandShares shares = new DemandShares(2, WINDOW_MILLIS);
        shares.sent("lautoka", "h1", List.of(demand(50_000, 0)), 1_000);
        shares.received("lautoka", "h1", List.of(demand(150_000, 0)), 1_000);
        shares.sent("lautoka", "h1", List.of(demand(500_000, 0)), 1_400);

        assertEquals(0.25, share(shares, 500_000, 1_500), ROUNDING);
        shares.disconnected("lautoka", "h1", 3_000);
        assertEquals(0.25, share(shares, 500_000, 9_000), ROUNDING);
    }

    /** Guards against a region that keeps nearly nothing for good, as the region at its peak was lost. */
    @Test
    void shouldDivideEvenlyWhenARegionHasBeenDisconnectedForLong() {
        DemandShares shares = new DemandShares(3, WINDOW_MILLIS);
        connect(shares, "suva", 10_000, 0);
        connect(shares, "lautoka", 10_000, 290_000);
        assertTrue(share(shares, 10_000, 2_000) < 0.05);

        shares.disconnected("lautoka", "lautoka", 3_000);

        assertTrue(share(shares, 10_000, 12_999) < 0.05);
        assertTrue(share(shares, 10_000, 24_000) > 0.3);
    }

    /** Guards against regions that take over what a region still uses that is cut off from them. */
    @Test
    void shouldNotTakeOverWhatARegionMayUseWhenItIsDisconnectedForLong() {
        DemandShares shares = new DemandShares(3, WINDOW_MILLIS);
        connect(shares, "suva", 300_000, 0);
        connect(shares, "lautoka", 300_000, 0);

        shares.disconnected("lautoka", "lautoka", 3_000);

        assertEquals(1.0 / 3, share(shares, 300_000, 21_000), ROUNDING);
        assertEquals(1.0 / 3, share(shares, 300_000, 1_000_000), ROUNDING);
    }

    private static void connect(DemandShares shares, String region, double ownPerSecond, double perSecond) {
        shares.sent(region, region, List.of(demand(ownPerSecond, 0)), 1_000);
        shares.received(region, region, List.of(demand(perSecond, 0)), 1_000);
    }

    /** Regions with one host each, that exchange reports over links of any delay, which are cut and opened again. */
    private static final class Fleet {
        private final int regions;
        private final Random random;
        private final List<DemandShares> shares = new ArrayList<>();
        private final double[] demandPerSecond;
        private final long[][] heardMillis;
        private final List<List<Deque<Report>>> inFlight = new ArrayList<>();
        private final List<Deque<double[]>> used = new ArrayList<>();
        private final boolean[][] cut;

        /** When two regions were cut off from each other, or zero while they are connected. */
        private final long[][] splitAtMillis;

        private long nowMillis = 1;

        private Fleet(int regions, Random random) {
            this.regions = regions;
            this.random = random;
            demandPerSecond = new double[regions];
            heardMillis = new long[regions][regions];
            cut = new boolean[regions][regions];
            splitAtMillis = new long[regions][regions];
            for (int i = 0; i < regions; i++) {
                shares.add(new DemandShares(regions, WINDOW_MILLIS));
                used.add(new ArrayDeque<>());
                inFlight.add(new ArrayList<>());
                for (int j = 0; j < regions; j++) {
                    inFlight.get(i).add(new ArrayDeque<>());
                }
            }
        }

        private void connectAll() {
            for (int round = 0; round < 2; round++) {
                for (int from = 0; from < regions; from++) {
                    for (int to = 0; to < regions; to++) {
                        if (from != to) {
                            send(from, to);
                            receive(from, to);
                        }
                    }
                }
            }
        }

        private void step() {
            nowMillis += random.nextInt(300);
            int from = random.nextInt(regions);
            int to = (from + 1 + random.nextInt(regions - 1)) % regions;
            switch (random.nextInt(6)) {
                case 0 -> changeDemand(from);
                case 1 -> send(from, to);
                case 2, 3 -> receive(from, to);
                case 4 -> use(from);
                default -> toggle(from, to);
            }
            if (random.nextInt(100) == 0) {
                split(random.nextInt(regions));
            }
            loseSilentLinks();
        }

        /** Cuts a region off from all others, or connects it again. */
        private void split(int region) {
            boolean connect = false;
            for (int other = 0; other < regions; other++) {
                connect |= splitAtMillis[region][other] > 0;
            }
            for (int other = 0; other < regions; other++) {
                if (other != region) {
                    splitAtMillis[region][other] = connect ? 0 : nowMillis;
                    splitAtMillis[other][region] = connect ? 0 : nowMillis;
                }
            }
        }

        private void loseSilentLinks() {
            for (int from = 0; from < regions; from++) {
                for (int to = 0; to < regions; to++) {
                    if (splitAtMillis[from][to] > 0 && nowMillis - splitAtMillis[from][to] > UNRESPONSIVE_MILLIS) {
                        shares.get(from).disconnected(name(to), name(to), nowMillis);
                        inFlight.get(from).get(to).clear();
                        heardMillis[from][to] = 0;
                    }
                }
            }
        }

        private void changeDemand(int region) {
            demandPerSecond[region] = random.nextInt(5) * 60_000 * random.nextDouble();
        }

        private void toggle(int from, int to) {
            cut[from][to] ^= random.nextInt(4) == 0;
        }

        private void use(int region) {
            double units = shares.get(region).units(ACCOUNT, ALLOWANCE, ALL_UNITS, demandPerSecond[region], nowMillis)
                    - usedUnits(region);
            if (units > 0) {
                used.get(region).add(new double[] {nowMillis, units * random.nextDouble()});
            }
        }

        private double usedUnits(int region) {
            used.get(region).removeIf(each -> each[0] < nowMillis - WINDOW_MILLIS);
            return used.get(region).stream().mapToDouble(each -> each[1]).sum();
        }

        private double usedUnits() {
            double sum = 0;
            for (int i = 0; i < regions; i++) {
                sum += usedUnits(i);
            }
            return sum;
        }

        private void send(int from, int to) {
            List<AccountDemand> demand = List.of(demand(demandPerSecond[from], usedUnits(from)));
            if (splitAtMillis[from][to] > 0) {
                return;
            }
            shares.get(from).sent(name(to), name(to), demand, nowMillis);
            inFlight.get(from).get(to).add(new Report(demand, nowMillis, heardMillis[from][to]));
        }

        private void receive(int from, int to) {
            Report report = inFlight.get(from).get(to).poll();
            if (report != null && !cut[from][to] && splitAtMillis[from][to] == 0) {
                heardMillis[to][from] = report.sentAtMillis();
                shares.get(to).received(name(from), name(from), report.demand(), report.echoedMillis());
            }
        }

        private static String name(int region) {
            return "region-" + region;
        }
    }

    private record Report(List<AccountDemand> demand, long sentAtMillis, long echoedMillis) {}
}
