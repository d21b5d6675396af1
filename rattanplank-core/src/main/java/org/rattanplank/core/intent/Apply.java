package org.rattanplank.core.intent;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.intent.IntentFault;

/**
 * One change on its way into the store: read, merge, check, compare-and-swap, and again when another operator was
 * first. Drive it like this:
 *
 * <pre>{@code
 * Apply apply = Apply.of(change);
 * while (apply.step() instanceof ApplyStep.CallStore call) {
 *     apply = apply.replied(store.call(call.command()));
 * }
 * }</pre>
 *
 * <p>Invariant: the change gets at most one generation, whatever answers are lost, because each write names the
 * revision it replaces and carries the change's own identity. Immutable and thread safe.
 */
public final class Apply {
    private static final int MAX_FAILURES = 8;
    private static final int MAX_ROUNDS = 32;
    private static final long RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 8_000;

    private final ConfigurationChange change;
    private final ApplyStep step;
    private final Option<Document> written;
    private final boolean unsettled;
    private final int failures;
    private final int rounds;

    private Apply(
            ConfigurationChange change,
            ApplyStep step,
            Option<Document> written,
            boolean unsettled,
            int failures,
            int rounds) {
        this.change = change;
        this.step = step;
        this.written = written;
        this.unsettled = unsettled;
        this.failures = failures;
        this.rounds = rounds;
    }

    /**
     * Starts to apply a change.
     *
     * @param change the change
     * @return the apply, which first reads the store
     */
    public static Apply of(ConfigurationChange change) {
        return new Apply(change, read(0), Option.none(), false, 0, 0);
    }

    /**
     * What to do next, or how it ended.
     *
     * @return the step
     */
    public ApplyStep step() {
        return step;
    }

    /**
     * Takes the end of the call that the step asked for.
     *
     * @param reply the end
     * @return the apply with its next step
     */
    public Apply replied(StoreReply reply) {
        if (rounds >= MAX_ROUNDS) {
            return failed("other operators were first " + rounds + " times");
        }
        if (reply instanceof StoreReply.Found found) {
            return merged(found.entry());
        }
        if (reply instanceof StoreReply.Written) {
            return done(written.get(), written.get().generation());
        }
        if (reply instanceof StoreReply.Conflicted conflicted) {
            return conflicted.current().isEmpty() ? again(read(0)) : merged(conflicted.current());
        }
        if (reply instanceof StoreReply.Unsure unsure) {
            return retry(unsettled || written.isDefined(), unsure.reason());
        }
        if (reply instanceof StoreReply.Unavailable unavailable) {
            return retry(unsettled, unavailable.reason());
        }
        return failed("the store gave an answer to another call");
    }

    private Apply merged(Option<StoreEntry> entry) {
        Either<String, Document> read = newest(entry);
        if (read.isLeft()) {
            return failed(read.getLeft());
        }
        Document newest = read.get();
        // A write whose answer was lost may have taken effect, and another operator may have changed the document
        // since. Without looking for the own change among the newest ones, the change would be merged against itself:
        // the operator would see a conflict with their own file, or a removed file would come back.
        Option<Long> own = newest.generationOf(change.changeId());
        if (own.isDefined()) {
            return done(newest, own.get());
        }
        // A read may be older than what the operator last saw. Merged against it, files of other operators would look
        // removed, and the operator would see conflicts that are none.
        if (newest.generation() < change.base().generation()) {
            return retry(unsettled, "the store gave an older generation than the one last seen");
        }
        Either<List<ConfigurationConflict>, Document> next = change.applyTo(newest);
        if (next.isLeft()) {
            return ended(new ApplyStep.Conflicting(newest.generation(), next.getLeft()));
        }
        if (next.get() == newest) {
            return ended(new ApplyStep.Done(newest.generation(), newest.digest(), false));
        }
        List<IntentFault> faults = IntentChecks.check(next.get().intentFiles());
        return faults.isEmpty() ? write(next.get(), entry) : ended(new ApplyStep.Refused(faults));
    }

    private Apply write(Document next, Option<StoreEntry> entry) {
        long expected = entry.map(StoreEntry::modRevision).getOrElse(0L);
        ApplyStep put =
                new ApplyStep.CallStore(new StoreCommand.Put(Configurations.KEY, next.toText(), expected, 0), 0);
        return new Apply(change, put, Option.some(next), unsettled, failures, rounds + 1);
    }

    private Apply retry(boolean stillUnsettled, String reason) {
        if (failures + 1 >= MAX_FAILURES) {
            return ended(new ApplyStep.Failed(!stillUnsettled, reason));
        }
        long delay = Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS << failures);
        return new Apply(change, read(delay), Option.none(), stillUnsettled, failures + 1, rounds);
    }

    private Apply again(ApplyStep next) {
        return new Apply(change, next, Option.none(), unsettled, failures, rounds + 1);
    }

    private Apply done(Document document, long generation) {
        return ended(new ApplyStep.Done(generation, document.digest(), true));
    }

    private Apply failed(String reason) {
        return ended(new ApplyStep.Failed(!unsettled, reason));
    }

    private Apply ended(ApplyStep end) {
        return new Apply(change, end, Option.none(), unsettled, failures, rounds);
    }

    private static Either<String, Document> newest(Option<StoreEntry> entry) {
        if (entry.isEmpty()) {
            return Either.right(Document.empty());
        }
        return Document.parse(entry.get().value())
                .toEither()
                .mapLeft(e -> "the store's document cannot be read: " + e.getMessage());
    }

    private static ApplyStep read(long delayMillis) {
        return new ApplyStep.CallStore(new StoreCommand.Get(Configurations.KEY), delayMillis);
    }
}
