package org.rattanplank.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.UUID;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.rattanplank.core.intent.ApplyOperation;
import org.rattanplank.core.intent.ApplyState;
import org.rattanplank.core.intent.ConfigurationChange;
import org.rattanplank.core.intent.Document;

/**
 * Applies a folder of intents as the next configuration generation.
 *
 * <p>Invariant: the base file changes only after the store has confirmed the change. Run once by one thread.
 */
@Parameters(commandDescription = "apply a folder of intents as the configuration")
final class ApplyCommand extends Command {
    private static final long DEFAULT_WAIT_MILLIS = 30_000;

    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @Parameter(names = "--wait", description = "wait until the generation is in force at every entry host")
    private boolean waitForHosts;

    @Parameter(names = "--wait-millis", description = "maximum wait in milliseconds")
    private long waitMillis = DEFAULT_WAIT_MILLIS;

    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        Either<Report, Report> report = connectionOptions.store(console).flatMap(store -> IntentFolders.check(folder)
                .flatMap(intents -> BaseFile.of(folder)
                        .read()
                        .map(base -> apply(console, store, base, IntentFolders.contents(intents)))));
        return report.fold(failure -> failure, success -> success);
    }

    private Report apply(Console console, StoreClient store, Document base, SortedMap<String, JsonNode> wanted) {
        ConfigurationChange change =
                new ConfigurationChange(base, wanted, UUID.randomUUID().toString());
        ApplyState result = runToEnd(ApplyOperation.of(change), store);
        if (result instanceof ApplyState.Done done) {
            return done(console, done, wanted);
        }
        if (result instanceof ApplyState.Rejected refused) {
            return IntentFolders.faultReport(refused.faults());
        }
        if (result instanceof ApplyState.Conflicting conflicting) {
            return ConflictReport.of(conflicting.generation(), conflicting.conflicts());
        }
        ApplyState.Failed failed = (ApplyState.Failed) result;
        String effect = failed.definitelyNotApplied()
                ? "nothing was applied"
                : "it is unknown whether the change was applied; apply the same folder again";
        return Report.of(ExitCode.UNREACHABLE, "the store cannot be reached: " + failed.reason() + "; " + effect);
    }

    private static ApplyState runToEnd(ApplyOperation start, StoreClient store) {
        ApplyOperation apply = start;
        while (apply.state() instanceof ApplyState.CallStore call) {
            Pause.millis(call.delayMillis());
            apply = apply.storeReplied(store.call(call.command()));
        }
        return apply.state();
    }

    private Report done(Console console, ApplyState.Done done, SortedMap<String, JsonNode> wanted) {
        Document applied = new Document(done.generation(), done.digest(), "", List.of(), wanted);
        Either<Report, Path> written = BaseFile.of(folder).write(applied);
        if (written.isLeft()) {
            return written.getLeft();
        }
        String line = done.changed()
                ? "generation " + done.generation() + " holds this folder"
                : "no changes; generation " + done.generation() + " holds this folder";
        ObjectNode json = JsonHttpClient.JSON
                .createObjectNode()
                .put("generation", done.generation())
                .put("digest", done.digest())
                .put("changed", done.changed());
        if (!waitForHosts) {
            return Report.of(ExitCode.DONE, List.of(line), json);
        }
        console.progress(line);
        return connectionOptions.operators(console).fold(failure -> failure, operators -> new GenerationWaiter(
                        operators, console, json)
                .await(done.generation(), waitMillis));
    }
}
