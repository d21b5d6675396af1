package org.rattanplank.gateway.peer;

import java.util.ArrayList;
import java.util.List;

/** A host of the own region that keeps the frames it is sent. Confined to one thread. */
final class RecordingReceiver implements StoreReceiver {
    private final String name;
    private final PeerFrame.State state;
    private final List<PeerFrame> received = new ArrayList<>();

    RecordingReceiver(String name, PeerFrame.State state) {
        this.name = name;
        this.state = state;
    }

    /** Returns the frames in the order in which they were sent. */
    List<PeerFrame> received() {
        return received;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public boolean isInOwnRegion() {
        return true;
    }

    @Override
    public PeerFrame.State state() {
        return state;
    }

    @Override
    public long pendingBytes() {
        return 0;
    }

    @Override
    public void send(PeerFrame frame, byte[] bytes) {
        received.add(frame);
    }
}
