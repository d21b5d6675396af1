package org.rattanplank.core.claim;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;

/**
 * The set of processes that replicate the claims of one data centre between two changes. Immutable and thread safe.
 *
 * <p>Invariants: members are sorted, with one process per host; two views that were formed have different numbers.
 *
 * @param dataCentre the data centre
 * @param number the number of the view, higher for each change
 * @param completeFromMillis the time since which no claim has been lost; zero if none ever was
 * @param changeId the change that formed the view
 * @param members the members
 */
record ClaimView(String dataCentre, long number, long completeFromMillis, String changeId, List<ViewMemberId> members) {
    /**
     * Increment of the number when a view is formed without any member of the previous view. Changes made by consent,
     * without the store, may have used the next few numbers; two views with one number would accept copies from each
     * other.
     */
    static final long TAKEOVER_STRIDE = 1_000_000;

    ClaimView {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(changeId, "changeId");
        members = members.stream().sorted().distinct().toList();
    }

    boolean contains(ViewMemberId member) {
        return members.contains(member);
    }

    Option<ViewMemberId> memberOn(String host) {
        return Option.ofOptional(
                members.stream().filter(member -> member.host().equals(host)).findFirst());
    }

    boolean containsAny(List<ViewMemberId> others) {
        return members.stream().anyMatch(others::contains);
    }

    ViewMemberId primary(ClaimKey key) {
        return Rendezvous.choose(key, members);
    }

    List<ViewMemberId> others(ViewMemberId self) {
        return members.stream().filter(member -> !member.equals(self)).toList();
    }

    ClaimView next(String newChangeId, List<ViewMemberId> newMembers) {
        return new ClaimView(dataCentre, number + 1, completeFromMillis, newChangeId, newMembers);
    }

    ClaimView withNumber(long newNumber) {
        return new ClaimView(dataCentre, newNumber, completeFromMillis, changeId, members);
    }

    ClaimView takeover(String newChangeId, ViewMemberId newMember, long nowMillis) {
        return new ClaimView(dataCentre, number + TAKEOVER_STRIDE, nowMillis, newChangeId, List.of(newMember));
    }
}
