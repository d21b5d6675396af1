package org.rattanplank.core.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;

/**
 * Divides the allowances of client accounts between regions by what is asked in each.
 *
 * <p>Each region tells the others its demand and its use, and divides by the demands that it was told. It counts its own demand
 * only as far as every other region has acknowledged it: a region raises its share after the others have lowered theirs, and
 * lowers its own at once. What another region has used beyond its present share is left to it until it has left the window.
 *
 * <p>A region that is cut off may serve on for as long as it likes, and nobody can tell it from one that is lost. So regions
 * that are disconnected keep the shares that they had for a while. Then an even division replaces them: shares that are
 * greater fall to it, and a window later those that are less rise.
 *
 * <p>Invariant: regions use no more than the whole in any window, however late reports arrive, and also while regions are cut
 * off from each other. Confined to its owner's thread.
 */
final class DemandShares {
    /** The part of an allowance that counts as asked for by all other regions together, so that each keeps a share. */
    private static final double MIN_OTHER_DEMAND_FRACTION = 0.08;

    /** How long disconnected regions keep the shares that they had: most are connected again sooner. */
    private static final long DISCONNECTED_HOLD_MILLIS = 10_000;

    /** How much later than this region another one may notice that they are disconnected. */
    private static final long DISCONNECTED_SKEW_MILLIS = 2_000;

    /** The part of what nobody asks for that is divided evenly, for regions whose demand grows; the rest follows demand. */
    private static final double EVEN_SPARE_FRACTION = 0.5;

    private final int regions;
    private final long windowMillis;
    private final Map<String, OtherRegion> others = new HashMap<>();

    /**
     * Creates the shares of a region that knows no other one.
     *
     * @param regions the number of regions of the installation
     * @param windowMillis the span over which use is summed
     */
    DemandShares(int regions, long windowMillis) {
        this.regions = Math.max(1, regions);
        this.windowMillis = windowMillis;
    }

    /** Returns the demand that counts for a region in which less is asked. */
    double minDemandPerSecond(Allowance allowance) {
        return MIN_OTHER_DEMAND_FRACTION * allowance.unitsPerSecond() / Math.max(1, regions - 1);
    }

    /**
     * Records the demands that were sent to a host of another region.
     *
     * @param region the region
     * @param host the host
     * @param demands the demands
     * @param sentAtMillis the time
     */
    void sent(String region, String host, List<AccountDemand> demands, long sentAtMillis) {
        link(region, host).sent.add(new SentDemands(sentAtMillis, byAccount(demands)));
    }

    /**
     * Records the demands that a host of another region has told.
     *
     * @param region the region
     * @param host the host
     * @param demands the demands
     * @param acknowledgedMillis when the last demands were sent that the host had received
     */
    void received(String region, String host, List<AccountDemand> demands, long acknowledgedMillis) {
        Link link = link(region, host);
        link.received = Option.some(byAccount(demands));
        link.acknowledge(acknowledgedMillis);
    }

    /**
     * Records that a host of another region is disconnected.
     *
     * @param region the region
     * @param host the host
     * @param nowMillis the time
     */
    void disconnected(String region, String host, long nowMillis) {
        OtherRegion other = others.get(region);
        Link link = other == null ? null : other.links.remove(host);
        if (link != null) {
            other.lost(link, nowMillis);
        }
    }

    /**
     * Returns the units that this region may use in a window: its share of all, less what other regions have used of it while
     * their shares were greater.
     *
     * @param account the account
     * @param allowance its allowance
     * @param allUnits the units that all regions may use in a window
     * @param demandPerSecond what is asked in this region
     * @param nowMillis the time
     * @return units, not below zero
     */
    double units(String account, Allowance allowance, double allUnits, double demandPerSecond, long nowMillis) {
        double demandUnits = unitsByDemand(account, allowance, allUnits, demandPerSecond, others.values());
        boolean known = others.size() >= regions - 1;
        if (known && others.values().stream().allMatch(region -> region.keepsItsShare(nowMillis))) {
            return demandUnits;
        }
        List<OtherRegion> connected =
                others.values().stream().filter(OtherRegion::isConnected).toList();
        double connectedUnits = allUnits * (1 + connected.size()) / regions;
        double evenUnits = Math.min(
                allUnits / regions, unitsByDemand(account, allowance, connectedUnits, demandPerSecond, connected));
        boolean mayRise = others.values().stream()
                .allMatch(region -> region.isConnected() || region.hasFallen(nowMillis, windowMillis));
        return mayRise ? evenUnits : Math.min(evenUnits, demandUnits);
    }

    private double unitsByDemand(
            String account,
            Allowance allowance,
            double allUnits,
            double demandPerSecond,
            Collection<OtherRegion> divided) {
        double minDemand = minDemandPerSecond(allowance);
        double own = Math.max(minDemand, demandPerSecond);
        double total = 0;
        List<AccountDemand> told = new ArrayList<>();
        for (OtherRegion region : divided) {
            double otherDemand = minDemand;
            double otherUsed = 0;
            for (Link link : region.known()) {
                own = Math.min(own, Math.max(minDemand, link.leastUnacknowledged(account)));
                otherDemand = Math.max(otherDemand, link.received(account).perSecond());
                otherUsed = Math.max(otherUsed, link.received(account).usedUnits());
            }
            total += otherDemand;
            told.add(new AccountDemand(account, otherDemand, otherUsed));
        }
        Division division = new Division(own + total, allowance.unitsPerSecond(), divided.size() + 1);
        double ownShare = division.share(own);
        double dividedUnits = allUnits;
        double dividedShare = 1;
        for (AccountDemand other : told) {
            double share = division.share(other.perSecond());
            if (other.usedUnits() > share * allUnits) {
                dividedUnits -= other.usedUnits();
                dividedShare -= share;
            }
        }
        return Math.max(0, dividedUnits * ownShare / Math.max(ownShare, dividedShare));
    }

    private Link link(String region, String host) {
        return others.computeIfAbsent(region, name -> new OtherRegion())
                .links
                .computeIfAbsent(host, name -> new Link());
    }

    private static Map<String, AccountDemand> byAccount(List<AccountDemand> demands) {
        Map<String, AccountDemand> byAccount = new HashMap<>();
        demands.forEach(demand -> byAccount.put(demand.account(), demand));
        return byAccount;
    }

    /**
     * Divides an allowance by demand; half of what nobody asks for is divided evenly. More demand of a region raises its
     * share and lowers those of others, whatever is spare; the invariant needs that.
     */
    private record Division(double totalPerSecond, double allowedPerSecond, int regions) {
        private double share(double perSecond) {
            double evenly = EVEN_SPARE_FRACTION * Math.max(0, allowedPerSecond - totalPerSecond);
            return (perSecond + evenly / regions) / (totalPerSecond + evenly);
        }
    }

    private static final class OtherRegion {
        private static final int MAX_LAST = 8;

        private final Map<String, Link> links = new HashMap<>();

        /**
         * The links that were lost last, which count while there is no other one: one on which the region has acknowledged
         * something, and later ones on which it may have counted on its new demand.
         */
        private final Deque<Link> last = new ArrayDeque<>();

        /** When the last link was lost on which the region had acknowledged something. */
        private long disconnectedAtMillis = Long.MIN_VALUE / 2;

        /** When the last link was lost on which it had only told its demand. */
        private long lostUnacknowledgedAtMillis = Long.MIN_VALUE / 2;

        private void lost(Link link, long nowMillis) {
            if (isConnected() || !link.hasReceived()) {
                return;
            }
            if (link.isAcknowledged()) {
                last.clear();
                disconnectedAtMillis = nowMillis;
            } else {
                lostUnacknowledgedAtMillis = nowMillis;
            }
            if (last.size() >= MAX_LAST) {
                last.poll();
            }
            last.add(link);
        }

        private boolean isConnected() {
            return links.values().stream().anyMatch(Link::isAcknowledged);
        }

        /** Returns whether the division by demand holds for it. */
        private boolean keepsItsShare(long nowMillis) {
            return isConnected() || nowMillis - disconnectedAtMillis < DISCONNECTED_HOLD_MILLIS;
        }

        /**
         * Returns whether its share has fallen to that of the even division, and what it used before has left the window. It
         * may have counted on its new demand if it has told that, whether this region's was acknowledged or not.
         */
        private boolean hasFallen(long nowMillis, long windowMillis) {
            long sinceMillis = Math.max(disconnectedAtMillis, lostUnacknowledgedAtMillis);
            return nowMillis - sinceMillis >= DISCONNECTED_HOLD_MILLIS + DISCONNECTED_SKEW_MILLIS + windowMillis
                    && links.values().stream().noneMatch(Link::hasReceived);
        }

        /**
         * Returns the links that tell of the region: those on which it has acknowledged something. Until there is one, they are
         * the last one that was lost and those on which it has told its demand anew.
         */
        private Collection<Link> known() {
            List<Link> acknowledged =
                    links.values().stream().filter(Link::isAcknowledged).toList();
            if (!acknowledged.isEmpty()) {
                return acknowledged;
            }
            List<Link> known = new ArrayList<>(
                    links.values().stream().filter(Link::hasReceived).toList());
            known.addAll(last);
            return known;
        }
    }

    /** The demands told over one link. */
    private static final class Link {
        private final Deque<SentDemands> sent = new ArrayDeque<>();
        private Option<Map<String, AccountDemand>> received = Option.none();
        private boolean acknowledged;

        private boolean isAcknowledged() {
            return acknowledged;
        }

        private boolean hasReceived() {
            return received.isDefined();
        }

        private void acknowledge(long sentAtMillis) {
            while (sent.size() > 1 && second().atMillis <= sentAtMillis) {
                sent.poll();
            }
            acknowledged |= !sent.isEmpty() && sent.peek().atMillis <= sentAtMillis;
        }

        private SentDemands second() {
            var iterator = sent.iterator();
            iterator.next();
            return iterator.next();
        }

        private AccountDemand received(String account) {
            return received.flatMap(demands -> Option.of(demands.get(account)))
                    .getOrElse(() -> new AccountDemand(account, 0, 0));
        }

        /** Returns the least of the demands that the other host may believe in. */
        private double leastUnacknowledged(String account) {
            double least = Double.MAX_VALUE;
            for (SentDemands each : sent) {
                AccountDemand demand = each.byAccount.get(account);
                least = Math.min(least, demand == null ? 0 : demand.perSecond());
            }
            return least;
        }
    }

    private record SentDemands(long atMillis, Map<String, AccountDemand> byAccount) {}
}
