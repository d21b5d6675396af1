package org.rattanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.rattanplank.core.intent.Document;
import org.rattanplank.schema.intent.IntentFolder;

/**
 * Writes the newest generation into a folder.
 *
 * <p>Invariant: a folder with files that were changed and not applied is left as it is. Run once by one thread.
 */
@Parameters(commandDescription = "write the newest generation into a folder")
final class PullCommand extends Command {
    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @ParametersDelegate
    private final Connection connection = new Connection();

    @Override
    Report run(Console console) {
        Either<Report, Report> report = connection
                .store(console)
                .flatMap(StoreClient::newest)
                .flatMap(newest -> BaseFile.of(folder).read().map(base -> pull(base, newest)));
        return report.fold(refused -> refused, done -> done);
    }

    private Report pull(Document base, Document newest) {
        Either<Report, IntentFolder> present = Files.isDirectory(folder)
                ? IntentFolder.read(folder).mapLeft(Folders::refused)
                : Either.right(IntentFolder.empty());
        if (present.isLeft()) {
            return present.getLeft();
        }
        List<FileDifference> unapplied = FileDifference.between(base.files(), Folders.contents(present.get()));
        if (!unapplied.isEmpty()) {
            List<String> lines = io.vavr.collection.List.ofAll(unapplied)
                    .map(each -> each.file() + ": changed here and not applied")
                    .append("nothing was written; apply this folder or pull into another one")
                    .asJava();
            return Report.of(ExitCode.REFUSED, lines, FileDifference.toJson(unapplied));
        }
        return write(base, newest);
    }

    private Report write(Document base, Document newest) {
        try {
            Files.createDirectories(folder);
            for (FileDifference each : FileDifference.between(base.files(), newest.files())) {
                if (each.verb().equals("remove")) {
                    Files.delete(folder.resolve(each.file()));
                }
            }
            for (Map.Entry<String, JsonNode> file : newest.files().entrySet()) {
                Folders.write(folder, file.getKey(), file.getValue());
            }
        } catch (IOException e) {
            return Report.of(ExitCode.REFUSED, folder + " cannot be written: " + e);
        }
        return BaseFile.of(folder).write(newest).fold(refused -> refused, written -> done(newest));
    }

    private Report done(Document newest) {
        ObjectNode json = Web.JSON
                .createObjectNode()
                .put("generation", newest.generation())
                .put("digest", newest.digest())
                .put("files", newest.files().size());
        String line = folder + " holds generation " + newest.generation() + " with "
                + newest.files().size() + " files";
        return Report.of(ExitCode.DONE, List.of(line), json);
    }
}
