package org.rattanplank.core.member;

import org.rattanplank.core.host.Place;
import org.rattanplank.schema.message.Heartbeat;

/** What a host knows of another entry host that it has a link to or hears from. Not thread safe. */
final class Peer {
    /** After this long without a word a host of the own data centre counts as lost: three heartbeats. */
    static final long SUSPECT_MILLIS = 1_500;

    private static final Heartbeat NO_HEARTBEAT = new Heartbeat(0, 0, false, 0, false, null);

    final String host;
    final Place place;
    final long incarnation;
    boolean linked;
    long sentMillis = Long.MIN_VALUE / 2;
    private boolean refused;
    private boolean beats;
    private long heardMillis;
    private Heartbeat last = NO_HEARTBEAT;

    Peer(String host, Place place, long incarnation, long nowMillis) {
        this.host = host;
        this.place = place;
        this.incarnation = incarnation;
        this.heardMillis = nowMillis;
    }

    /** Tells whether the host lives, as far as one can tell. */
    boolean isLive(long nowMillis) {
        return !refused && (nowMillis - heardMillis <= SUSPECT_MILLIS || (linked && !beats));
    }

    Heartbeat last() {
        return last;
    }

    long heardMillis() {
        return heardMillis;
    }

    void heard(long nowMillis) {
        heardMillis = nowMillis;
        refused = false;
    }

    void beat(Heartbeat heartbeat) {
        last = heartbeat;
        beats = true;
    }

    void lost(boolean wasRefused) {
        linked = false;
        refused = refused || wasRefused;
    }
}
