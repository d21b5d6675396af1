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
import org.rattanplank.core.intent.Apply;
import org.rattanplank.core.intent.ApplyStep;
import org.rattanplank.core.intent.ConfigurationChange;
import org.rattanplank.core.intent.Document;

/**
 * Puts a folder into force.
 *
 * <p>Invariant: the base file changes only after the store surely holds the change. Run once by one thread.
 */
@Parameters(commandDescription = "put a folder of intents into force")
final class ApplyCommand extends Command {
    private static final long DEFAULT_WAIT_MILLIS = 30_000;

    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @Parameter(names = "--wait", description = "wait until every entry host has it in force")
    private boolean waits;

    @Parameter(names = "--wait-millis", description = "how long to wait at most")
    private long waitMillis = DEFAULT_WAIT_MILLIS;

    @ParametersDelegate
    private final Connection connection = new Connection();

    @Override
    Report run(Console console) {
        Either<Report, Report> report = connection.store(console).flatMap(store -> Folders.check(folder)
                .flatMap(read ->
                        BaseFile.of(folder).read().map(base -> apply(console, store, base, Folders.contents(read)))));
        return report.fold(refused -> refused, done -> done);
    }

    private Report apply(Console console, StoreClient store, Document base, SortedMap<String, JsonNode> wanted) {
        ConfigurationChange change =
                new ConfigurationChange(base, wanted, UUID.randomUUID().toString());
        ApplyStep end = drive(Apply.of(change), store);
        if (end instanceof ApplyStep.Done done) {
            return done(console, done, wanted);
        }
        if (end instanceof ApplyStep.Refused refused) {
            return Folders.refused(refused.faults());
        }
        if (end instanceof ApplyStep.Conflicting conflicting) {
            return Conflicts.report(conflicting.generation(), conflicting.conflicts());
        }
        ApplyStep.Failed failed = (ApplyStep.Failed) end;
        String effect = failed.surelyNotApplied()
                ? "nothing was applied"
                : "it is unknown whether the change was applied; apply the same folder again";
        return Report.of(ExitCode.UNREACHABLE, "the store cannot be reached: " + failed.reason() + "; " + effect);
    }

    private static ApplyStep drive(Apply start, StoreClient store) {
        Apply apply = start;
        while (apply.step() instanceof ApplyStep.CallStore call) {
            Pause.millis(call.delayMillis());
            apply = apply.replied(store.call(call.command()));
        }
        return apply.step();
    }

    private Report done(Console console, ApplyStep.Done done, SortedMap<String, JsonNode> wanted) {
        Document seen = new Document(done.generation(), done.digest(), "", List.of(), wanted);
        Either<Report, Path> written = BaseFile.of(folder).write(seen);
        if (written.isLeft()) {
            return written.getLeft();
        }
        String line = done.changed()
                ? "generation " + done.generation() + " holds this folder"
                : "nothing to change; generation " + done.generation() + " holds this folder";
        ObjectNode json = Web.JSON
                .createObjectNode()
                .put("generation", done.generation())
                .put("digest", done.digest())
                .put("changed", done.changed());
        if (!waits) {
            return Report.of(ExitCode.DONE, List.of(line), json);
        }
        console.progress(line);
        return connection.operators(console).fold(refused -> refused, operators -> new GenerationWait(
                        operators, console, json)
                .until(done.generation(), waitMillis));
    }
}
