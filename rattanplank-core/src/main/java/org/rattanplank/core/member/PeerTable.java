package org.rattanplank.core.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.rattanplank.core.host.Location;

/**
 * The entry hosts that this host is connected to or receives messages from.
 *
 * <p>Invariant: the known incarnation of a host never decreases, so that a delayed message from a terminated process
 * has no effect. Not thread safe.
 */
final class PeerTable {
    private static final long RETENTION_MILLIS = 60_000;

    private final String dataCentre;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<String, Long> disconnectedMillis = new TreeMap<>();

    PeerTable(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    Option<Peer> find(String host) {
        return Option.of(peers.get(host));
    }

    boolean isLocal(Peer peer) {
        return peer.location.dataCentre().equals(dataCentre);
    }

    /** Records a message from a host; returns none if a newer incarnation of the host is already known. */
    Option<Peer> recordMessage(String host, long incarnation, Location location, long nowMillis) {
        Peer known = peers.get(host);
        if (known != null && known.incarnation > incarnation) {
            return Option.none();
        }
        if (known == null || known.incarnation < incarnation) {
            Peer newer = new Peer(host, location, incarnation, nowMillis);
            newer.connected = known != null && known.connected;
            peers.put(host, newer);
        }
        Peer peer = peers.get(host);
        peer.recordMessage(nowMillis);
        return Option.some(peer);
    }

    void disconnected(String host, boolean connectionRefused, long nowMillis) {
        disconnectedMillis.put(host, nowMillis);
        find(host).forEach(peer -> peer.disconnected(connectionRefused));
    }

    /** Returns whether the link to the host was disconnected after the given time and is not up again. */
    boolean isDisconnectedSince(String host, long sinceMillis) {
        Long disconnectedAt = disconnectedMillis.get(host);
        return disconnectedAt != null
                && disconnectedAt > sinceMillis
                && !find(host).exists(peer -> peer.connected);
    }

    List<Peer> local() {
        return peers.values().stream().filter(this::isLocal).toList();
    }

    List<Peer> connected() {
        return peers.values().stream().filter(peer -> peer.connected).toList();
    }

    List<Peer> remoteConnected() {
        return connected().stream().filter(peer -> !isLocal(peer)).toList();
    }

    /** Returns the other live hosts of the local data centre, ordered by name. */
    List<Peer> liveLocal(long nowMillis) {
        List<Peer> live = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (isLocal(peer) && peer.isLive(nowMillis)) {
                live.add(peer);
            }
        }
        return live;
    }

    void removeExpired(long nowMillis) {
        peers.values().removeIf(peer -> !peer.connected && nowMillis - peer.lastMessageMillis() > RETENTION_MILLIS);
        disconnectedMillis.values().removeIf(millis -> nowMillis - millis > RETENTION_MILLIS);
    }
}
