package org.rattanplank.core.claim;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vavr.control.Option;
import org.rattanplank.schema.message.ClaimMessage;

/** What is on its way from one host to another, oldest first. Not thread safe. */
final class FakeLink {
    /** Something that the far end will notice. Immutable and thread safe. */
    sealed interface Item {
        /** A message of a process. Immutable and thread safe. */
        record Message(long incarnation, ClaimMessage content) implements Item {}

        /** The link is up. Immutable and thread safe. */
        record Up(long incarnation) implements Item {}

        /** The link is down. Immutable and thread safe. */
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

    /** Loses the oldest message. */
    void dropHead() {
        items.poll();
    }

    /** Lets the oldest item arrive after all others. */
    void delayHead() {
        Option.of(items.poll()).forEach(items::add);
    }

    /** Lets the oldest item arrive now and once more after all others. */
    void duplicateHead() {
        Option.of(items.peek()).forEach(items::add);
    }

    boolean headIsMessage() {
        return items.peek() instanceof Item.Message;
    }
}
