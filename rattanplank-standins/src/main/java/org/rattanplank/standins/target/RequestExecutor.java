package org.rattanplank.standins.target;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What a target runs: a model engine or a plain service. Confined to the targets' thread. */
interface RequestExecutor {

    /** Starts a call, queues it or refuses it. */
    void start(Call call);

    /** Takes a call that is about an earlier one; tells whether it was one. */
    boolean handleControl(org.rattanplank.standins.http.Exchange exchange);

    int runningCount();

    int queuedCount();

    /** Adds what only this kind of work reports of its load. */
    void addLoadFields(ObjectNode load);
}
