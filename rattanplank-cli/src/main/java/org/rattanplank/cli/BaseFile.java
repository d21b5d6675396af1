package org.rattanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

import io.vavr.control.Either;
import org.rattanplank.core.intent.Document;

/**
 * The hidden file of a folder that stores the document on which the folder is based.
 *
 * <p>Invariant: the file holds the folder's files as they were when the folder last matched the store, so that an apply
 * changes only the files that this operator has changed. Immutable and thread safe.
 */
final class BaseFile {
    static final String NAME = ".rattanplank-base.json";

    private final Path path;

    private BaseFile(Path path) {
        this.path = path;
    }

    static BaseFile of(Path folder) {
        return new BaseFile(folder.resolve(NAME));
    }

    /** Reads the base document, empty for a folder that was never applied or pulled. */
    Either<Report, Document> read() {
        if (!Files.exists(path)) {
            return Either.right(Document.empty());
        }
        try {
            return Document.parse(Files.readString(path))
                    .toEither()
                    .mapLeft(e -> Report.of(ExitCode.REFUSED, path + " cannot be read: " + e.getMessage()));
        } catch (IOException e) {
            return Either.left(Report.of(ExitCode.REFUSED, path + " cannot be read: " + e));
        }
    }

    /** Replaces the base atomically: a partly written base would make the next apply undo other operators' changes. */
    Either<Report, Path> write(Document document) {
        Path next = path.resolveSibling(NAME + ".next");
        try {
            Files.writeString(next, document.toText());
            return Either.right(
                    Files.move(next, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE));
        } catch (IOException e) {
            return Either.left(Report.of(ExitCode.REFUSED, path + " cannot be written: " + e));
        }
    }
}
