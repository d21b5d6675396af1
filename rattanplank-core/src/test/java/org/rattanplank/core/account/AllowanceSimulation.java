package org.rattanplank.core.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.function.ToDoubleBiFunction;

import io.vavr.control.Option;

/**
 * Simulates the hosts of some regions that keep one client account within its allowance, in virtual time: reports are late,
 * hosts of different regions know of three others each, links are cut and hosts end. Confined to one thread.
 */
final class AllowanceSimulation {
    static final String ACCOUNT = "brewers";

    private static final long STEP_MILLIS = 10;
    private static final long OWN_REGION_MILLIS = 2;
    private static final long OTHER_REGION_MILLIS = 83;
    private static final long OWN_REGION_PERIOD_MILLIS_PER_HOST = 12;
    private static final long MIN_OWN_REGION_PERIOD_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long OTHER_REGION_PERIOD_MILLIS = 400;
    private static final long UNRESPONSIVE_MILLIS = 1_600;
    private static final long CHECK_MILLIS = 100;
    private static final int LINKS_PER_OTHER_REGION = 3;

    /** Units of a request and how often each is drawn: drafts, queries, tags and plain requests. */
    private static final long[] UNITS = {12_400, 1_120, 2_400, 200};

    private static final double[] SHARES = {0.13, 0.38, 0.2, 0.29};

    private final Random random;
    private Allowance allowance;
    private Option<Integer> onlyHost = Option.none();
    private final Supplier<AllowanceControl> controls;
    private final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong((Message message) -> message.atMillis)
                    .thenComparingLong(message -> message.number));
    private final List<long[]> admitted = new ArrayList<>();
    private final List<long[]> offered = new ArrayList<>();
    private final int regions;
    private final int hostsPerRegion;
    private long nowMillis;
    private long messageCount;
    private BiPredicate<Host, Host> connected = (from, to) -> true;

    AllowanceSimulation(
            int regions, int hostsPerRegion, Allowance allowance, Supplier<AllowanceControl> controls, long seed) {
        this.regions = regions;
        this.hostsPerRegion = hostsPerRegion;
        this.allowance = allowance;
        this.controls = controls;
        random = new Random(seed);
        for (int region = 0; region < regions; region++) {
            for (int i = 0; i < hostsPerRegion; i++) {
                hosts.add(new Host(region, i));
            }
        }
        for (Host host : hosts) {
            for (int region = 0; region < regions; region++) {
                for (int link = 0; region != host.region && link < LINKS_PER_OTHER_REGION; link++) {
                    Host other = hosts.get(region * hostsPerRegion + random.nextInt(hostsPerRegion));
                    host.linkTo(other);
                    other.linkTo(host);
                }
            }
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    int hostCount() {
        return hosts.size();
    }

    /** Sets which hosts reach each other. */
    void connect(BiPredicate<Host, Host> newConnected) {
        connected = newConnected;
    }

    /** Lets all requests come to one host. */
    void sendAllTo(int index) {
        onlyHost = Option.some(index);
    }

    /** Applies another allowance at all hosts. */
    void configure(Allowance newAllowance) {
        allowance = newAllowance;
        hosts.forEach(host -> host.control.configure(accounts(), nowMillis));
    }

    private List<GatewayAccount> accounts() {
        return List.of(new GatewayAccount(ACCOUNT, Set.of(), 0, allowance, Set.of()));
    }

    /** Ends a host and starts it again, without what it knew. */
    void restart(int index, boolean silently) {
        Host host = hosts.get(index);
        for (Host other : hosts) {
            if (other != host && (other.region == host.region || other.links.containsKey(host))) {
                other.lose(host, silently);
            }
        }
        host.start();
    }

    /**
     * Runs for some time.
     *
     * @param millis the time
     * @param unitsPerSecond returns what is asked in a region at a time, in units per second
     */
    void run(long millis, ToDoubleBiFunction<Integer, Long> unitsPerSecond) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            while (!messages.isEmpty() && messages.peek().atMillis <= nowMillis) {
                messages.poll().deliver.run();
            }
            for (int region = 0; region < regions; region++) {
                arrive(region, unitsPerSecond.applyAsDouble(region, nowMillis) * STEP_MILLIS / 1_000);
            }
            hosts.forEach(Host::step);
        }
    }

    private void arrive(int region, double units) {
        double meanUnits = 0;
        for (int i = 0; i < UNITS.length; i++) {
            meanUnits += UNITS[i] * SHARES[i];
        }
        double expected = units / meanUnits;
        for (double left = expected; left > 0; left--) {
            if (random.nextDouble() < left) {
                Host host = hosts.get(onlyHost.getOrElse(region * hostsPerRegion + random.nextInt(hostsPerRegion)));
                long drawn = drawUnits();
                offered.add(new long[] {nowMillis, drawn});
                if (host.control
                        .tryCharge(ACCOUNT, Option.some(drawn), nowMillis)
                        .isEmpty()) {
                    admitted.add(new long[] {nowMillis, drawn});
                }
            }
        }
    }

    private long drawUnits() {
        double draw = random.nextDouble();
        for (int i = 0; i < UNITS.length; i++) {
            draw -= SHARES[i];
            if (draw < 0) {
                double size = UNITS[i] < 1_000 ? 1 : Math.exp(0.8 * random.nextGaussian() - 0.32);
                return Math.round(UNITS[i] * size);
            }
        }
        return UNITS[UNITS.length - 1];
    }

    /** Returns the most units that were used in any window. */
    long mostInWindow(long windowMillis) {
        return mostInWindow(windowMillis, 0);
    }

    /** Returns the most units that were used in any window that began at a time or later. */
    long mostInWindow(long windowMillis, long sinceMillis) {
        long most = 0;
        long sum = 0;
        int first = 0;
        for (long[] each : admitted) {
            if (each[0] < sinceMillis) {
                first++;
                continue;
            }
            sum += each[1];
            while (admitted.get(first)[0] < each[0] - windowMillis) {
                sum -= admitted.get(first)[1];
                first++;
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    long admittedUnits(long sinceMillis) {
        return admitted.stream()
                .filter(each -> each[0] >= sinceMillis)
                .mapToLong(each -> each[1])
                .sum();
    }

    /** Returns the part of what a single window for all hosts would have admitted that was admitted here. */
    double servedOfAllowed(AllowanceBounds bounds) {
        Deque<long[]> window = new ArrayDeque<>();
        double windowUnits = 0;
        double allowed = 0;
        for (long[] each : offered) {
            while (!window.isEmpty() && window.peek()[0] < each[0] - bounds.windowMillis()) {
                windowUnits -= window.poll()[1];
            }
            if (windowUnits < bounds.windowUnits(allowance)) {
                windowUnits += each[1];
                allowed += each[1];
                window.add(each);
            }
        }
        return admittedUnits(0) / allowed;
    }

    /** A host; its reports are late, and it has lost another one when it has not heard of it for some time. */
    final class Host {
        final int region;
        final int number;
        private final String regionName;
        private final String name;
        private final Map<Host, Long> links = new HashMap<>();
        private final Map<Host, Long> heardAtMillis = new HashMap<>();
        private AllowanceControl control;
        private long nextOwnRegionMillis;
        private long nextOtherRegionMillis;

        private Host(int region, int number) {
            this.region = region;
            this.number = number;
            regionName = "region-" + region;
            name = "host-" + region + "-" + number;
            start();
        }

        private void start() {
            control = controls.get();
            control.configure(accounts(), nowMillis);
            heardAtMillis.clear();
            links.replaceAll((host, echoed) -> 0L);
            nextOwnRegionMillis = nowMillis + random.nextInt(100);
            nextOtherRegionMillis = nowMillis + random.nextInt((int) OTHER_REGION_PERIOD_MILLIS);
        }

        private void linkTo(Host other) {
            links.put(other, 0L);
        }

        private void lose(Host other, boolean silently) {
            heardAtMillis.remove(other);
            if (other.region == region) {
                control.hostLost(other.name, silently, nowMillis);
            } else {
                links.put(other, 0L);
                control.regionLinkLost(other.regionName, other.name, nowMillis);
            }
        }

        private void step() {
            if (nowMillis % CHECK_MILLIS == 0) {
                loseUnresponsiveHosts();
            }
            if (nowMillis >= nextOwnRegionMillis) {
                long intervalMillis =
                        Math.max(MIN_OWN_REGION_PERIOD_MILLIS, OWN_REGION_PERIOD_MILLIS_PER_HOST * hostsPerRegion);
                long periodMillis = Math.max(HEARTBEAT_MILLIS, intervalMillis);
                nextOwnRegionMillis = nowMillis + intervalMillis;
                List<AccountUsage> usage = control.usage(nowMillis);
                for (Host other : hosts) {
                    if (other != this && other.region == region) {
                        send(
                                other,
                                OWN_REGION_MILLIS,
                                () -> other.control.usageReceived(name, usage, periodMillis, nowMillis));
                    }
                }
            }
            if (nowMillis >= nextOtherRegionMillis) {
                nextOtherRegionMillis = nowMillis + OTHER_REGION_PERIOD_MILLIS;
                List<AccountDemand> demand = control.regionDemand(nowMillis);
                links.forEach((other, echoedMillis) -> tellDemand(other, demand, echoedMillis));
            }
        }

        private void loseUnresponsiveHosts() {
            List<Host> unresponsive = heardAtMillis.entrySet().stream()
                    .filter(each -> nowMillis - each.getValue() > UNRESPONSIVE_MILLIS)
                    .map(Map.Entry::getKey)
                    .toList();
            unresponsive.forEach(host -> lose(host, true));
        }

        private void tellDemand(Host other, List<AccountDemand> demand, long echoedMillis) {
            long sentAtMillis = nowMillis + 1;
            control.demandSent(other.regionName, other.name, demand, sentAtMillis);
            send(other, OTHER_REGION_MILLIS, () -> {
                other.links.put(this, sentAtMillis);
                other.control.demandReceived(regionName, name, demand, echoedMillis);
            });
        }

        private void send(Host to, long delayMillis, Runnable receive) {
            AllowanceControl sender = control;
            AllowanceControl receiver = to.control;
            messages.add(new Message(nowMillis + delayMillis, messageCount++, () -> {
                // What was sent by or to an earlier run of a host is lost with its connection.
                if (sender == control && receiver == to.control && connected.test(this, to)) {
                    to.heardAtMillis.put(this, nowMillis);
                    receive.run();
                }
            }));
        }
    }

    private record Message(long atMillis, long number, Runnable deliver) {}
}
