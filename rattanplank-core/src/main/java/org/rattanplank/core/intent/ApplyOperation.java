package org.rattanplank.core.intent;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.intent.IntentFault;

/**
 * State machine that applies one configuration change to the store: read, merge, check and compare-and-swap, retried
 * when another operator's write came first. Usage:
 *
 * <pre>{@code
 * ApplyOperation operation = ApplyOperation.of(change);
 * while (operation.state() instanceof ApplyState.CallStore call) {
 *     operation = operation.storeReplied(store.call(call.command()));
 * }
 * }</pre>
 *
 * <p>Invariant: the change creates at most one generation even if replies are lost, because each write names the
 * revision it replaces and carries the identity of the change. Immutable and thread safe.
 */
public final class ApplyOperation {
    private static final int MAX_FAILURES = 8;
    private static final int MAX_ATTEMPTS = 32;
    private static final long MIN_RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 8_000;

    private final ConfigurationChange change;
    private final ApplyState state;
    private final Option<Document> written;
    private final boolean writeOutcomeUnknown;
    private final int failures;
    private final int attempts;

    private ApplyOperation(
            ConfigurationChange change,
            ApplyState state,
            Option<Document> written,
            boolean unsettled,
            int failures,
            int rounds) {
        this.change = change;
        this.state = state;
        this.written = written;
        this.writeOutcomeUnknown = unsettled;
        this.failures = failures;
        this.attempts = rounds;
    }

    /**
     * Starts applying a change.
     *
     * @param change the change
     * @return the operation, which first reads the store
     */
    public static ApplyOperation of(ConfigurationChange change) {
        return new ApplyOperation(change, read(0), Option.none(), false, 0, 0);
    }

    /**
     * Returns the next store call, or the result.
     *
     * @return the state
     */
    public ApplyState state() {
        return state;
    }

    /**
     * Handles the reply to the store call that the state requested.
     *
     * @param reply the reply
     * @return the operation in its next state
     */
    public ApplyOperation storeReplied(StoreReply reply) {
        if (attempts >= MAX_ATTEMPTS) {
            return failed("other operators wrote first " + attempts + " times");
        }
        if (reply instanceof StoreReply.Found found) {
            return merge(found.entry());
        }
        if (reply instanceof StoreReply.Written) {
            return done(written.get(), written.get().generation());
        }
        if (reply instanceof StoreReply.Conflicted conflicted) {
            return conflicted.current().isEmpty() ? restart(read(0)) : merge(conflicted.current());
        }
        if (reply instanceof StoreReply.Unsure unsure) {
            return retry(writeOutcomeUnknown || written.isDefined(), unsure.reason());
        }
        if (reply instanceof StoreReply.Unavailable unavailable) {
            return retry(writeOutcomeUnknown, unavailable.reason());
        }
        return failed("the store returned a reply of an unexpected type");
    }

    private ApplyOperation merge(Option<StoreEntry> entry) {
        Either<String, Document> parsed = parseNewest(entry);
        if (parsed.isLeft()) {
            return failed(parsed.getLeft());
        }
        Document newest = parsed.get();
        // A write whose reply was lost may have taken effect, and another operator may have changed the document since.
        // If the latest changes were not searched for this change, it would be merged against itself: the operator
        // would get a conflict with their own file, or a removed file would reappear.
        Option<Long> appliedGeneration = newest.generationOf(change.changeId());
        if (appliedGeneration.isDefined()) {
            return done(newest, appliedGeneration.get());
        }
        // A read may return an older generation than the operator last saw. Merged against it, files of other operators
        // would look removed, and the operator would get false conflicts.
        if (newest.generation() < change.base().generation()) {
            return retry(writeOutcomeUnknown, "the store returned an older generation than the one last seen");
        }
        Either<List<ConfigurationConflict>, Document> next = change.applyTo(newest);
        if (next.isLeft()) {
            return finished(new ApplyState.Conflicting(newest.generation(), next.getLeft()));
        }
        if (next.get() == newest) {
            return finished(new ApplyState.Done(newest.generation(), newest.digest(), false));
        }
        List<IntentFault> faults = IntentChecks.check(next.get().intentFiles());
        return faults.isEmpty() ? write(next.get(), entry) : finished(new ApplyState.Rejected(faults));
    }

    private ApplyOperation write(Document next, Option<StoreEntry> entry) {
        long expected = entry.map(StoreEntry::modRevision).getOrElse(0L);
        ApplyState put =
                new ApplyState.CallStore(new StoreCommand.Put(ConfigurationManager.KEY, next.toText(), expected, 0), 0);
        return new ApplyOperation(change, put, Option.some(next), writeOutcomeUnknown, failures, attempts + 1);
    }

    private ApplyOperation retry(boolean outcomeUnknown, String reason) {
        if (failures + 1 >= MAX_FAILURES) {
            return finished(new ApplyState.Failed(!outcomeUnknown, reason));
        }
        long delayMillis = Math.min(MAX_RETRY_MILLIS, MIN_RETRY_MILLIS << failures);
        return new ApplyOperation(change, read(delayMillis), Option.none(), outcomeUnknown, failures + 1, attempts);
    }

    private ApplyOperation restart(ApplyState next) {
        return new ApplyOperation(change, next, Option.none(), writeOutcomeUnknown, failures, attempts + 1);
    }

    private ApplyOperation done(Document document, long generation) {
        return finished(new ApplyState.Done(generation, document.digest(), true));
    }

    private ApplyOperation failed(String reason) {
        return finished(new ApplyState.Failed(!writeOutcomeUnknown, reason));
    }

    private ApplyOperation finished(ApplyState result) {
        return new ApplyOperation(change, result, Option.none(), writeOutcomeUnknown, failures, attempts);
    }

    private static Either<String, Document> parseNewest(Option<StoreEntry> entry) {
        if (entry.isEmpty()) {
            return Either.right(Document.empty());
        }
        return Document.parse(entry.get().value())
                .toEither()
                .mapLeft(e -> "the document in the store cannot be parsed: " + e.getMessage());
    }

    private static ApplyState read(long delayMillis) {
        return new ApplyState.CallStore(new StoreCommand.Get(ConfigurationManager.KEY), delayMillis);
    }
}
