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

/** Shows what an apply of a folder would change. Run once by one thread. */
@Parameters(commandDescription = "show what apply would change")
final class DiffCommand extends Command {
    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @ParametersDelegate
    private final Connection connection = new Connection();

    @Override
    Report run(Console console) {
        Either<Report, Report> report = connection.store(console).flatMap(store -> Folders.check(folder)
                .flatMap(read -> BaseFile.of(folder)
                        .read()
                        .map(base -> new ConfigurationChange(base, Folders.contents(read), "")))
                .flatMap(change -> store.newest().map(newest -> compare(change, newest))));
        return report.fold(refused -> refused, found -> found);
    }

    private static Report compare(ConfigurationChange change, Document newest) {
        return change.applyTo(newest)
                .fold(conflicts -> Conflicts.report(newest.generation(), conflicts), next -> show(newest, next));
    }

    private static Report show(Document newest, Document next) {
        List<FileDifference> differences = FileDifference.between(newest.files(), next.files());
        List<String> lines = io.vavr.collection.List.ofAll(differences)
                .map(each -> each.verb() + " " + each.file())
                .append(differences.size() + " files differ from generation " + newest.generation())
                .asJava();
        ObjectNode json = FileDifference.toJson(differences);
        json.put("generation", newest.generation());
        return Report.of(ExitCode.DONE, lines, json);
    }
}
