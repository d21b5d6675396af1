package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;

/**
 * The targets of this host's region and what may be sent to them.
 *
 * <p>Invariants: a target in a data centre that is being evacuated takes nothing; a run that left takes nothing even if
 * an old entry of it turns up again; of the runs of one target only the one that began last is here, and an entry of an
 * earlier one changes nothing. Confined to its owner's thread.
 */
public final class TargetPool {
    /** Entries that lapsed while the store was out are back about two seconds after it; a margin is added. */
    static final long REMOVAL_GRACE_MILLIS = 2_300;

    /** How long a target that left is remembered, longer than any old entry of it can turn up. */
    private static final long DEPARTED_RETENTION_MILLIS = 120_000;

    /** How long targets of a data centre count as cold after its evacuation if their entries don't say more. */
    private static final long COLD_AFTER_EVACUATION_MILLIS = 1_500;

    private final Set<String> dataCentres;
    private final Map<String, GatewayTarget> targets = new LinkedHashMap<>();
    private final Map<String, Departed> departed = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();
    private long removalGraceUntilMillis;

    /** Where targets tell their runs, all do: an entry that tells none is not a target's own, and isn't used. */
    private boolean incarnationsReported;

    private TargetPool(Set<String> dataCentres) {
        this.dataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Makes an empty pool.
     *
     * @param dataCentres the data centres of this host's region; targets elsewhere can't be reached from here
     * @return the pool
     */
    public static TargetPool of(Set<String> dataCentres) {
        return new TargetPool(dataCentres);
    }

    /**
     * All targets of the region.
     *
     * @return the targets, those that leave included
     */
    public Collection<GatewayTarget> all() {
        return targets.values();
    }

    /**
     * Finds a target.
     *
     * @param id its identifier
     * @return the target, or none
     */
    public Option<GatewayTarget> find(String id) {
        return Option.of(targets.get(id));
    }

    /**
     * Finds a run of a target.
     *
     * @param text the run as other hosts name it
     * @return the target, or none if this run is not the one that lives, as far as known; a host of an earlier version
     *     names no run, so that its word counts only where targets tell none
     */
    public Option<GatewayTarget> findRun(String text) {
        return find(text).orElse(() -> find(TargetRun.idFromText(text))).filter(target -> target.runText()
                .equals(text));
    }

    /**
     * Takes a target's newest entry.
     *
     * @param entry the entry
     * @param nowMillis the time
     * @return what this changed
     */
    public EntryChange entered(TargetEntry entry, long nowMillis) {
        incarnationsReported |= entry.run().bornMillis() > 0;
        GatewayTarget known = targets.get(entry.id());
        if (known != null && entry.run().isBefore(known.run())) {
            return EntryChange.NONE;
        }
        if (known != null && known.run().equals(entry.run())) {
            return known.update(entry, nowMillis) ? EntryChange.of(known) : EntryChange.NONE;
        }
        if (known != null) {
            // Whatever was believed of the earlier run is wrong of this one: what it keeps, its health, that it leaves.
            // Believed on, it would be passed over for as long as it lives, or flooded while it is cold.
            targets.remove(entry.id());
            known.markTerminated();
            departed.put(entry.id(), new Departed(known.run(), nowMillis));
        }
        Departed before = departed.get(entry.id());
        boolean isNews = before == null || before.incarnation().isBefore(entry.run());
        if (isNews && dataCentres.contains(entry.dataCentre())) {
            GatewayTarget begun = new GatewayTarget(entry, nowMillis);
            targets.put(entry.id(), begun);
            return new EntryChange(Option.some(begun), Option.of(known));
        }
        return new EntryChange(Option.none(), Option.of(known));
    }

    /**
     * Takes note that a target's entry names no target to use any more. What is believed of it is kept for the next
     * sound entry of the same run: the target itself says so again and again, so one that lives is soon back.
     *
     * @param id its identifier
     */
    public void unreadable(String id) {
        find(id).forEach(GatewayTarget::entryUnreadable);
    }

    /**
     * Takes note that the store is back after a time without it.
     *
     * @param nowMillis the time
     */
    public void storeReturned(long nowMillis) {
        removalGraceUntilMillis = nowMillis + REMOVAL_GRACE_MILLIS;
    }

    /**
     * How much longer a removed entry may come back.
     *
     * @param nowMillis the time
     * @return milliseconds, zero if removals count at once
     */
    public long lenientMillis(long nowMillis) {
        return Math.max(0, removalGraceUntilMillis - nowMillis);
    }

    /**
     * Lets removed entries come back, as another host that saw the store return does.
     *
     * @param millis for how long
     * @param nowMillis the time
     */
    public void beLenient(long millis, long nowMillis) {
        removalGraceUntilMillis = Math.max(removalGraceUntilMillis, nowMillis + millis);
    }

    /**
     * Takes note that a target has no entry any more.
     *
     * @param id its identifier
     * @param nowMillis the time
     */
    public void removed(String id, long nowMillis) {
        GatewayTarget target = targets.get(id);
        if (target == null) {
            return;
        }
        if (nowMillis < removalGraceUntilMillis) {
            // The entry may have lapsed while the store was out, and the target lives: dropping it now would leave the
            // region with few targets or none for seconds, which one would see as refusals right after an outage.
            target.markMissing(nowMillis);
        } else {
            drop(id, nowMillis);
        }
    }

    /**
     * Ends the targets that stayed away.
     *
     * @param nowMillis the time
     * @return the identifiers of those that are gone now
     */
    public List<String> tick(long nowMillis) {
        List<String> gone = new ArrayList<>();
        if (nowMillis >= removalGraceUntilMillis) {
            for (GatewayTarget target : targets.values()) {
                if (target.isMissingFor(0, nowMillis)) {
                    gone.add(target.id());
                }
            }
        }
        gone.forEach(id -> drop(id, nowMillis));
        departed.values().removeIf(each -> nowMillis - each.departedAtMillis() > DEPARTED_RETENTION_MILLIS);
        return gone;
    }

    /**
     * Starts or ends the evacuation of a data centre.
     *
     * @param dataCentre the data centre
     * @param active whether nothing may be sent there
     * @param nowMillis the time
     */
    public void evacuate(String dataCentre, boolean active, long nowMillis) {
        if (active) {
            evacuated.add(dataCentre);
        } else if (evacuated.remove(dataCentre)) {
            // Targets may have become cold meanwhile and their entries may say so a little later: the first burst after
            // an evacuation would crash them.
            targets.values().stream()
                    .filter(target -> target.entry().dataCentre().equals(dataCentre))
                    .forEach(target -> target.extendColdPeriod(COLD_AFTER_EVACUATION_MILLIS, nowMillis));
        }
    }

    /**
     * The data centres that are being evacuated.
     *
     * @return their names
     */
    public Set<String> evacuated() {
        return evacuated;
    }

    boolean isUsable(GatewayTarget target, long nowMillis) {
        return !evacuated.contains(target.entry().dataCentre())
                && target.mayAccept(nowMillis)
                && !(incarnationsReported && target.run().bornMillis() == 0);
    }

    private void drop(String id, long nowMillis) {
        GatewayTarget target = targets.remove(id);
        if (target != null) {
            target.leave();
            departed.put(id, new Departed(target.run(), nowMillis));
        }
    }

    /** The last run of a target that left, and when that was noticed. */
    private record Departed(TargetRun incarnation, long departedAtMillis) {}
}
