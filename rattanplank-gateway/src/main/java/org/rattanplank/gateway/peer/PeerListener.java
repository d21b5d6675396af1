package org.rattanplank.gateway.peer;

import java.util.List;

import org.rattanplank.core.quarantine.CrashEvidence;

/** Receives events of the links to other hosts. Called on the event loop. */
public interface PeerListener {
    /**
     * Called when a host has become connected.
     *
     * @param link the link to it
     */
    void connected(PeerLink link);

    /**
     * Called when a host is no longer connected.
     *
     * @param link the link to it
     * @param cause how the loss was detected
     * @param detail more about it, or empty
     */
    void disconnected(PeerLink link, DisconnectCause cause, String detail);

    /**
     * Called when a host has reported its state.
     *
     * @param link the link to it
     * @param state the reported state
     */
    void stateReceived(PeerLink link, PeerFrame.State state);

    /**
     * Called when a host has sent a large prefill notice for one target.
     *
     * @param link the link to it
     * @param work its work at the target
     */
    void largePrefillNoticeReceived(PeerLink link, PeerFrame.TargetWork work);

    /**
     * Called when a host has sent evidence of crashes.
     *
     * @param link the link to it
     * @param evidence the evidence
     */
    void crashNoticeReceived(PeerLink link, List<CrashEvidence> evidence);

    /**
     * Called when a host has sent contents of the store.
     *
     * @param link the link to it
     * @param items the items
     */
    void storeItemsReceived(PeerLink link, PeerFrame.StoreItems items);

    /**
     * Called when a host forwards a request to this one.
     *
     * @param link the link to it
     * @param request the request
     * @param backup the target at whose backup a stream is to be continued, empty for a new request
     */
    void requestReceived(PeerLink link, PeerFrame.CallRequest request, String backup);

    /**
     * Called when a host cancels a call.
     *
     * @param link the link to it
     * @param call the number of the call
     */
    void callCancelled(PeerLink link, long call);
}
