package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.host.Place;

/**
 * The entry hosts that this host has a link to or hears from.
 *
 * <p>Invariant: the incarnation known of a host never falls, so that a late word of a process that ended changes
 * nothing. Not thread safe.
 */
final class PeerTable {
    private static final long FORGET_MILLIS = 60_000;

    private final String dataCentre;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<String, Long> lostMillis = new TreeMap<>();

    PeerTable(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    Option<Peer> find(String host) {
        return Option.of(peers.get(host));
    }

    boolean isLocal(Peer peer) {
        return peer.place.dataCentre().equals(dataCentre);
    }

    /** Takes a word of a host; none if a newer process of the same host was heard before. */
    Option<Peer> heard(String host, long incarnation, Place place, long nowMillis) {
        Peer known = peers.get(host);
        if (known != null && known.incarnation > incarnation) {
            return Option.none();
        }
        if (known == null || known.incarnation < incarnation) {
            Peer newer = new Peer(host, place, incarnation, nowMillis);
            newer.linked = known != null && known.linked;
            peers.put(host, newer);
        }
        Peer peer = peers.get(host);
        peer.heard(nowMillis);
        return Option.some(peer);
    }

    void lost(String host, boolean refused, long nowMillis) {
        lostMillis.put(host, nowMillis);
        find(host).forEach(peer -> peer.lost(refused));
    }

    /** Tells whether a link to the host broke less than so long ago and is not up again. */
    boolean isLostSince(String host, long sinceMillis) {
        Long lost = lostMillis.get(host);
        return lost != null && lost > sinceMillis && !find(host).exists(peer -> peer.linked);
    }

    List<Peer> local() {
        return peers.values().stream().filter(this::isLocal).toList();
    }

    List<Peer> remoteLinked() {
        return peers.values().stream()
                .filter(peer -> peer.linked && !isLocal(peer))
                .toList();
    }

    /** Finds the other hosts of the own data centre that live, in the order of their names. */
    List<Peer> liveLocal(long nowMillis) {
        List<Peer> live = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (isLocal(peer) && peer.isLive(nowMillis)) {
                live.add(peer);
            }
        }
        return live;
    }

    void forgetOld(long nowMillis) {
        peers.values().removeIf(peer -> !peer.linked && nowMillis - peer.heardMillis() > FORGET_MILLIS);
        lostMillis.values().removeIf(lost -> nowMillis - lost > FORGET_MILLIS);
    }
}
