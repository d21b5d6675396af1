package org.rattanplank.core.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the allowances of client accounts between regions by what is asked in each.
 *
 * <p>Each region tells the others its demand and its use, and divides by the demands that it was told. It counts its own demand
 * only as far as every other region has acknowledged it: a region raises its share after the others have lowered theirs, and
 * lowers its own at once. What another region has used beyond its present share is left to it until it has left the window.
 * Invariant: regions that have been connected use no more than the whole in any window, however late reports arrive, and also
 * while the regions are cut off from each other; a region that is cut off keeps at most the share that it had. A region with which this one was never connected counts as if little was asked there.
 * Confined to its owner's thread.
 */
final class DemandShares {
    /** The part of an allowance that counts as asked for by all other regions together, so that each keeps a share. */
    private static final double MIN_OTHER_DEMAND_FRACTION = 0.08;

    /**
     * How long a region whose hosts are all disconnected keeps its share: regions that are cut off from each other are
     * usually connected again sooner, and hosts that have ended need none.
     */
    private static final long DISCONNECTED_HOLD_MILLIS = 10_000;

    /** The part of what nobody asks for that is divided evenly, for regions whose demand grows; the rest follows demand. */
    private static final double EVEN_SPARE_FRACTION = 0.5;

    private final int regions;
    private final Map<String, OtherRegion> others = new HashMap<>();

    /**
     * Creates the shares of a region that knows no other one.
     *
     * @param regions the number of regions of the installation
     */
    DemandShares(int regions) {
        this.regions = Math.max(1, regions);
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
        link.received = byAccount(demands);
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
        if (link != null
                && link.isAcknowledged()
                && other.links.values().stream().noneMatch(Link::isAcknowledged)) {
            other.last = link;
            other.disconnectedAtMillis = nowMillis;
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
        double minDemand = minDemandPerSecond(allowance);
        double own = Math.max(minDemand, demandPerSecond);
        double total = minDemand * (regions - 1 - others.size());
        List<AccountDemand> told = new ArrayList<>();
        boolean alone = true;
        for (OtherRegion region : others.values()) {
            Collection<Link> known = region.known(nowMillis);
            alone &= known.isEmpty();
            double otherDemand = minDemand;
            double otherUsed = 0;
            for (Link link : known) {
                own = Math.min(own, Math.max(minDemand, link.leastUnacknowledged(account)));
                otherDemand = Math.max(otherDemand, link.received(account).perSecond());
                otherUsed = Math.max(otherUsed, link.received(account).usedUnits());
            }
            total += otherDemand;
            told.add(new AccountDemand(account, otherDemand, otherUsed));
        }
        own = alone ? minDemand : own;
        Division division = new Division(Math.max(own, own + total), allowance.unitsPerSecond(), regions);
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
        private final Map<String, Link> links = new HashMap<>();

        /** The last link that was lost, which counts while there is no other one. */
        private Link last;

        private long disconnectedAtMillis;

        /** Returns the links that tell of the region: those on which it has acknowledged something, or the last of them. */
        private Collection<Link> known(long nowMillis) {
            List<Link> acknowledged =
                    links.values().stream().filter(Link::isAcknowledged).toList();
            if (!acknowledged.isEmpty() || last == null) {
                return acknowledged;
            }
            return nowMillis - disconnectedAtMillis < DISCONNECTED_HOLD_MILLIS ? List.of(last) : List.of();
        }
    }

    /** The demands told over one link. */
    private static final class Link {
        private final Deque<SentDemands> sent = new ArrayDeque<>();
        private Map<String, AccountDemand> received = Map.of();
        private boolean acknowledged;

        private boolean isAcknowledged() {
            return acknowledged;
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
            AccountDemand demand = received.get(account);
            return demand == null ? new AccountDemand(account, 0, 0) : demand;
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
