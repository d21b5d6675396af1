package org.rattanplank.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.rattanplank.core.intent.ConfigurationChange;
import org.rattanplank.core.intent.Document;

/** Shows the changes that applying a folder would make. Run once by one thread. */
@Parameters(commandDescription = "show the changes that apply would make")
final class DiffCommand extends Command {
    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        Either<Report, Report> report = connectionOptions.store(console).flatMap(store -> IntentFolders.check(folder)
                .flatMap(intents -> BaseFile.of(folder)
                        .read()
                        .map(base -> new ConfigurationChange(base, IntentFolders.contents(intents), "")))
                .flatMap(change -> store.readNewest().map(newest -> compare(change, newest))));
        return report.fold(failure -> failure, success -> success);
    }

    private static Report compare(ConfigurationChange change, Document newest) {
        return change.applyTo(newest)
                .fold(conflicts -> ConflictReport.of(newest.generation(), conflicts), next -> show(newest, next));
    }

    private static Report show(Document newest, Document next) {
        List<FileDifference> differences = FileDifference.between(newest.files(), next.files());
        List<String> lines = io.vavr.collection.List.ofAll(differences)
                .map(difference -> difference.verb() + " " + difference.file())
                .append(differences.size() + " files differ from generation " + newest.generation())
                .asJava();
        ObjectNode json = FileDifference.toJson(differences);
        json.put("generation", newest.generation());
        return Report.of(ExitCode.DONE, lines, json);
    }
}
