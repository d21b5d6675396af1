package org.rattanplank.core.member;

import org.rattanplank.core.host.Location;
import org.rattanplank.schema.message.Heartbeat;

/** The state of another entry host that this host is connected to or receives messages from. Not thread safe. */
final class Peer {
    /** Time without a message after which a host of the local data centre counts as unresponsive: three heartbeats. */
    static final long UNRESPONSIVE_AFTER_MILLIS = 1_500;

    private static final Heartbeat NO_HEARTBEAT = new Heartbeat(0, 0, false, 0, false, null);

    final String host;
    final Location location;
    final long incarnation;
    boolean connected;
    long heartbeatSentMillis = Long.MIN_VALUE / 2;
    private boolean connectionRefused;
    private boolean heartbeatReceived;
    private long lastMessageMillis;
    private Heartbeat lastHeartbeat = NO_HEARTBEAT;

    Peer(String host, Location location, long incarnation, long nowMillis) {
        this.host = host;
        this.location = location;
        this.incarnation = incarnation;
        this.lastMessageMillis = nowMillis;
    }

    /** Returns whether the host is presumed live. */
    boolean isLive(long nowMillis) {
        return !connectionRefused
                && (nowMillis - lastMessageMillis <= UNRESPONSIVE_AFTER_MILLIS || (connected && !heartbeatReceived));
    }

    Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    long lastMessageMillis() {
        return lastMessageMillis;
    }

    void recordMessage(long nowMillis) {
        lastMessageMillis = nowMillis;
        connectionRefused = false;
    }

    void recordHeartbeat(Heartbeat heartbeat) {
        lastHeartbeat = heartbeat;
        heartbeatReceived = true;
    }

    void disconnected(boolean refusedNow) {
        connected = false;
        connectionRefused = connectionRefused || refusedNow;
    }
}
