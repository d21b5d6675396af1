package org.rattanplank.gateway.pass;

import org.rattanplank.core.gateway.MemoryBudget;

/**
 * The parts of the heap that requests share.
 *
 * <p>Confined to the event loop.
 *
 * @param bodies the memory for the bodies of requests
 * @param incomplete the memory for incomplete events, and for answers that another attempt may still replace
 * @param unsent the memory for responses that their callers, or the links that forward them, have not taken
 */
public record GatewayMemory(MemoryBudget bodies, MemoryBudget incomplete, MemoryBudget unsent) {
    /** The part of the heap for the bodies of requests: a quarter, as each may be copied once on its way. */
    private static final int BODIES_PART = 4;

    private static final int INCOMPLETE_PART = 8;
    private static final int UNSENT_PART = 8;

    static GatewayMemory ofHeap() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new GatewayMemory(
                MemoryBudget.of(heapBytes / BODIES_PART),
                MemoryBudget.of(heapBytes / INCOMPLETE_PART),
                MemoryBudget.of(heapBytes / UNSENT_PART));
    }
}
