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
 * Writes the newest configuration generation into a folder.
 *
 * <p>Invariant: a folder with unapplied changes is not modified. Run once by one thread.
 */
@Parameters(commandDescription = "write the newest configuration generation into a folder")
final class PullCommand extends Command {
    @Parameter(description = "FOLDER", required = true, converter = PathConverter.class)
    private Path folder;

    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        Either<Report, Report> report = connectionOptions
                .store(console)
                .flatMap(StoreClient::readNewest)
                .flatMap(newest -> BaseFile.of(folder).read().map(base -> pull(base, newest)));
        return report.fold(failure -> failure, success -> success);
    }

    private Report pull(Document base, Document newest) {
        Either<Report, IntentFolder> existing = Files.isDirectory(folder)
                ? IntentFolder.read(folder).mapLeft(IntentFolders::faultReport)
                : Either.right(IntentFolder.empty());
        if (existing.isLeft()) {
            return existing.getLeft();
        }
        List<FileDifference> unapplied = FileDifference.between(base.files(), IntentFolders.contents(existing.get()));
        if (!unapplied.isEmpty()) {
            List<String> lines = io.vavr.collection.List.ofAll(unapplied)
                    .map(difference -> difference.file() + ": changed here and not applied")
                    .append("nothing was written; apply this folder or pull into another one")
                    .asJava();
            return Report.of(ExitCode.REFUSED, lines, FileDifference.toJson(unapplied));
        }
        return write(base, newest);
    }

    private Report write(Document base, Document newest) {
        try {
            Files.createDirectories(folder);
            for (FileDifference difference : FileDifference.between(base.files(), newest.files())) {
                if (difference.verb().equals("remove")) {
                    Files.delete(folder.resolve(difference.file()));
                }
            }
            for (Map.Entry<String, JsonNode> file : newest.files().entrySet()) {
                IntentFolders.write(folder, file.getKey(), file.getValue());
            }
        } catch (IOException e) {
            return Report.of(ExitCode.REFUSED, folder + " cannot be written: " + e);
        }
        return BaseFile.of(folder).write(newest).fold(failure -> failure, written -> done(newest));
    }

    private Report done(Document newest) {
        ObjectNode json = JsonHttpClient.JSON
                .createObjectNode()
                .put("generation", newest.generation())
                .put("digest", newest.digest())
                .put("files", newest.files().size());
        String line = folder + " holds generation " + newest.generation() + " with "
                + newest.files().size() + " files";
        return Report.of(ExitCode.DONE, List.of(line), json);
    }
}
