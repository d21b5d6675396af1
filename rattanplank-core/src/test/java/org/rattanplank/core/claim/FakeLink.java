package org.rattanplank.core.claim;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vavr.control.Option;
import org.rattanplank.schema.message.ClaimMessage;

/** Items in flight from one host to another, oldest first. Not thread safe. */
final class FakeLink {
    /** Item that the receiving host observes. Immutable and thread safe. */
    sealed interface Item {
        /** Message from a process. Immutable and thread safe. */
        record Message(long incarnation, ClaimMessage content) implements Item {}

        /** Connection established. Immutable and thread safe. */
        record Up(long incarnation) implements Item {}

        /** Connection lost. Immutable and thread safe. */
        record Down(boolean refused) implements Item {}
    }

    final String from;
    final String to;
    final Deque<Item> items = new ArrayDeque<>();

    FakeLink(String from, String to) {
        this.from = from;
        this.to = to;
    }

    FakeLink copy() {
        FakeLink copy = new FakeLink(from, to);
        copy.items.addAll(items);
        return copy;
    }

    /** Drops the oldest message. */
    void dropHead() {
        items.poll();
    }

    /** Moves the oldest item behind all others. */
    void delayHead() {
        Option.of(items.poll()).forEach(items::add);
    }

    /** Delivers the oldest item twice: now and again after all others. */
    void duplicateHead() {
        Option.of(items.peek()).forEach(items::add);
    }

    boolean headIsMessage() {
        return items.peek() instanceof Item.Message;
    }
}
