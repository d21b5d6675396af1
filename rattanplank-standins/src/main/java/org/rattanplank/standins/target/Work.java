package org.rattanplank.standins.target;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What a target runs: a model engine or a plain service. Confined to the targets' thread. */
interface Work {

    /** Starts a call, queues it or refuses it. */
    void start(Call call);

    /** Takes a call that is about an earlier one; tells whether it was one. */
    boolean control(org.rattanplank.standins.http.Exchange exchange);

    int running();

    int queued();

    /** Adds what only this kind of work reports of its load. */
    void describe(ObjectNode load);
}
