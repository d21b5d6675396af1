package org.rattanplank.standins.target;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Executes the calls of a target: a model engine or a plain service. Confined to the targets' thread. */
interface RequestExecutor {

    /** Starts a call, queues it or rejects it. */
    void start(Call call);

    /** Handles a control call, such as one about an earlier request; returns false if it is none. */
    boolean handleControl(org.rattanplank.standins.http.Exchange exchange);

    int runningCount();

    int queuedCount();

    /** Adds the load report's fields that are specific to this kind of executor. */
    void addLoadFields(ObjectNode load);
}
