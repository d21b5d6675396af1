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
 * The targets of this host's region and whether requests may be sent to them.
 *
 * <p>Invariants: a target in a data centre that is being evacuated gets no requests; after an outage of the store the end of an
 * evacuation is believed when {@link #REMOVAL_GRACE_MILLIS} have passed since; a target whose entry was removed gets none later
 * than that after the removal was learnt, however often the store fails and recovers; an incarnation that left gets none even if
 * an old entry of it arrives again, unless it is readmitted; of the incarnations of one target the pool has only the one that
 * started last, and an entry of an earlier one changes nothing. Confined to its owner's thread.
 */
public final class TargetPool {
    /** Entries that expired during a store outage are back about two seconds after it; a margin is added. */
    static final long REMOVAL_GRACE_MILLIS = 2_300;

    /** How long a target that left is remembered, longer than old entries of it can still arrive. */
    private static final long DEPARTED_RETENTION_MILLIS = 120_000;

    /**
     * How long targets of a data centre count as cold after its evacuation unless their entries state a longer time.
     */
    private static final long COLD_AFTER_EVACUATION_MILLIS = 1_500;

    private final Set<String> dataCentres;
    private final RemoteEngines remoteEngines;
    private final Map<String, GatewayTarget> targets = new LinkedHashMap<>();
    private final Map<String, Departed> departed = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, Long> evacuationEndMillis = new HashMap<>();
    private long removalGraceUntilMillis;

    /**
     * Whether any target has reported its incarnation. If one does, all do: an entry without an incarnation was not
     * written by its target and isn't used.
     */
    private boolean incarnationsReported;

    private TargetPool(Set<String> dataCentres, RemoteEngines remoteEngines) {
        this.dataCentres = Set.copyOf(dataCentres);
        this.remoteEngines = remoteEngines;
    }

    /**
     * Creates an empty pool of the only region.
     *
     * @param dataCentres its data centres
     * @return the pool
     */
    public static TargetPool of(Set<String> dataCentres) {
        return new TargetPool(dataCentres, new RemoteEngines(Map.of(), ""));
    }

    /**
     * Creates an empty pool of one of several regions.
     *
     * @param regionsByDataCentre the region of each data centre
     * @param region this host's region; targets elsewhere can't be reached from here
     * @return the pool
     */
    public static TargetPool of(Map<String, String> regionsByDataCentre, String region) {
        Set<String> own = new HashSet<>(regionsByDataCentre.keySet());
        own.removeIf(dataCentre -> !regionsByDataCentre.get(dataCentre).equals(region));
        return new TargetPool(own, new RemoteEngines(regionsByDataCentre, region));
    }

    RemoteEngines remoteEngines() {
        return remoteEngines;
    }

    /**
     * Returns all targets of the region.
     *
     * @return the targets, leaving ones included
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
     * Finds an incarnation of a target.
     *
     * @param text the text of the incarnation in messages between hosts
     * @return the target, or none if this is not its current incarnation; a host of an earlier version sends no
     *     incarnation, so that its reports count only where targets report none
     */
    public Option<GatewayTarget> findIncarnation(String text) {
        return find(text)
                .orElse(() -> find(TargetIncarnation.idFromText(text)))
                .filter(target -> target.incarnationText().equals(text));
    }

    /**
     * Updates a target from its newest entry.
     *
     * @param entry the entry
     * @param nowMillis the time
     * @return the resulting change
     */
    public EntryChange register(TargetEntry entry, long nowMillis) {
        remoteEngines.register(entry);
        incarnationsReported |= entry.incarnation().startedAtMillis() > 0;
        GatewayTarget current = targets.get(entry.id());
        if (current != null && entry.incarnation().isBefore(current.incarnation())) {
            return EntryChange.NONE;
        }
        if (current != null && current.incarnation().equals(entry.incarnation())) {
            return current.update(entry, nowMillis) ? EntryChange.of(current) : EntryChange.NONE;
        }
        if (current != null) {
            // No state of the earlier incarnation holds for this one: cached parts, health or leaving. If it were
            // retained, the target would be passed over for as long as it lives, or overloaded while it is cold.
            targets.remove(entry.id());
            current.markTerminated();
            departed.put(entry.id(), new Departed(current.incarnation(), true, nowMillis));
        }
        Departed previous = departed.get(entry.id());
        boolean isNewer = previous == null || previous.incarnation().isBefore(entry.incarnation());
        if (isNewer && dataCentres.contains(entry.dataCentre())) {
            GatewayTarget started = new GatewayTarget(entry, nowMillis);
            targets.put(entry.id(), started);
            return new EntryChange(Option.some(started), Option.of(current));
        }
        return new EntryChange(Option.none(), Option.of(current));
    }

    /**
     * Records that a target has written its entry since the entry was removed, so that it is alive. One that was known to be
     * leaving stays departed.
     *
     * @param id its identifier
     */
    public void readmit(String id) {
        departed.computeIfPresent(id, (key, previous) -> previous.wasLeaving() ? previous : null);
    }

    /**
     * Records that a target's entry names no usable target any more. Its state is retained for the next readable entry
     * of the same incarnation: the target rewrites its entry periodically, so one that is alive is soon back.
     *
     * @param id its identifier
     */
    public void markUnreadable(String id) {
        find(id).forEach(GatewayTarget::entryUnreadable);
    }

    /**
     * Records that the store is available again after an outage.
     *
     * @param nowMillis the time
     */
    public void recordStoreRecovery(long nowMillis) {
        removalGraceUntilMillis = nowMillis + REMOVAL_GRACE_MILLIS;
    }

    /**
     * Returns how much longer a removed entry may be restored.
     *
     * @param nowMillis the time
     * @return milliseconds, zero if removals take effect at once
     */
    public long removalGraceMillis(long nowMillis) {
        return Math.max(0, removalGraceUntilMillis - nowMillis);
    }

    /**
     * Extends the time in which removed entries may be restored, as another host that saw the store recover reports it.
     *
     * @param millis the time from now; the bound of an own recovery holds for it, too
     * @param nowMillis the time
     */
    public void extendRemovalGrace(long millis, long nowMillis) {
        long boundedMillis = Math.min(millis, REMOVAL_GRACE_MILLIS);
        removalGraceUntilMillis = Math.max(removalGraceUntilMillis, nowMillis + boundedMillis);
    }

    /**
     * Records that the entry of a target was removed.
     *
     * @param id its identifier
     * @param nowMillis the time
     */
    public void remove(String id, long nowMillis) {
        remoteEngines.remove(id);
        GatewayTarget target = targets.get(id);
        if (target == null) {
            return;
        }
        if (nowMillis < removalGraceUntilMillis) {
            // The entry may have expired during the store outage while the target is alive: dropping it now would leave
            // the region with few targets or none for seconds. Symptom: rejected requests right after an outage.
            target.markMissing(removalGraceUntilMillis);
        } else {
            drop(id, nowMillis);
        }
    }

    /**
     * Drops the targets, and ends the evacuations, whose entries were not restored in time.
     *
     * @param nowMillis the time
     * @return the identifiers of the dropped targets
     */
    public List<String> tick(long nowMillis) {
        List<String> removed = new ArrayList<>();
        for (GatewayTarget target : targets.values()) {
            if (target.isMissingTooLong(nowMillis)) {
                removed.add(target.id());
            }
        }
        removed.forEach(id -> drop(id, nowMillis));
        List<String> ended = new ArrayList<>(evacuationEndMillis.keySet());
        ended.removeIf(dataCentre -> nowMillis < evacuationEndMillis.get(dataCentre));
        ended.forEach(dataCentre -> {
            evacuationEndMillis.remove(dataCentre);
            endEvacuation(dataCentre, nowMillis);
        });
        departed.values().removeIf(each -> nowMillis - each.departedAtMillis() > DEPARTED_RETENTION_MILLIS);
        return removed;
    }

    /**
     * Starts or ends the evacuation of a data centre. Its end is believed later if the store may only have lost the request for
     * it, which operators then write again.
     *
     * @param dataCentre the data centre
     * @param active whether nothing may be sent there
     * @param nowMillis the time
     */
    public void evacuate(String dataCentre, boolean active, long nowMillis) {
        if (active) {
            evacuated.add(dataCentre);
            evacuationEndMillis.remove(dataCentre);
        } else if (evacuated.contains(dataCentre) && nowMillis < removalGraceUntilMillis) {
            evacuationEndMillis.putIfAbsent(dataCentre, removalGraceUntilMillis);
        } else {
            endEvacuation(dataCentre, nowMillis);
        }
    }

    private void endEvacuation(String dataCentre, long nowMillis) {
        if (evacuated.remove(dataCentre)) {
            // Targets may have become cold meanwhile, and their entries may report it a little later: the first burst
            // after an evacuation would crash them.
            targets.values().stream()
                    .filter(target -> target.entry().dataCentre().equals(dataCentre))
                    .forEach(target -> target.extendColdPeriod(COLD_AFTER_EVACUATION_MILLIS, nowMillis));
        }
    }

    /**
     * Returns the data centres that are being evacuated.
     *
     * @return their names
     */
    public Set<String> evacuated() {
        return evacuated;
    }

    boolean isUsable(GatewayTarget target, long nowMillis) {
        return !evacuated.contains(target.entry().dataCentre())
                && target.mayAccept(nowMillis)
                && !(incarnationsReported && target.incarnation().startedAtMillis() == 0);
    }

    /**
     * Returns how much longer every target of a service wants nothing from this host.
     *
     * @param service the service
     * @param nowMillis the time
     * @return milliseconds, zero if there is no such target, or one that has requested no pause
     */
    public long requestedPauseMillis(String service, long nowMillis) {
        return targets.values().stream()
                .filter(target -> target.entry().service().equals(service) && !target.isLeaving())
                .mapToLong(target -> target.requestedPauseMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /**
     * Returns whether a stream may be continued at a target that holds its backup.
     *
     * @param target the target
     * @param nowMillis the time
     * @return whether the target may be used, is warm and has named no limit
     */
    public boolean mayContinue(GatewayTarget target, long nowMillis) {
        return isUsable(target, nowMillis) && !target.isCold(nowMillis) && !target.isRateLimited();
    }

    /**
     * Returns the targets that have named a limit: what they take is no capacity that others should count on.
     *
     * @return the texts of their incarnations
     */
    public Set<String> rateLimited() {
        Set<String> limited = new HashSet<>();
        for (GatewayTarget target : targets.values()) {
            if (target.isRateLimited()) {
                limited.add(target.incarnationText());
            }
        }
        return limited;
    }

    private void drop(String id, long nowMillis) {
        GatewayTarget target = targets.remove(id);
        if (target != null) {
            departed.put(id, new Departed(target.incarnation(), target.isLeaving(), nowMillis));
            target.markLeaving();
        }
    }

    /** The last incarnation of a target that left, whether that was known before its entry was gone, and when it was noticed. */
    private record Departed(TargetIncarnation incarnation, boolean wasLeaving, long departedAtMillis) {}
}
