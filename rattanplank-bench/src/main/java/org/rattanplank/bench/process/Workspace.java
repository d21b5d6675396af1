package org.rattanplank.bench.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.vavr.control.Try;

/** A temporary folder for the logs and intents of a fleet, deleted when it is closed. Thread safe. */
final class Workspace implements AutoCloseable {
    private static final int PRINTED_LINES_PER_LOG = 20;

    private final Path folder;

    private Workspace(Path folder) {
        this.folder = folder;
    }

    static Workspace create() {
        return new Workspace(
                Try.of(() -> Files.createTempDirectory("rattanplank-fleet")).get());
    }

    File log(String name) {
        return folder.resolve(name + ".log").toFile();
    }

    /**
     * Copies a deployment's intents, because the apply command writes a hidden file to the folder that it applies.
     * Without claims, the services are declared repeatable in the copy.
     */
    Path intents(FleetOptions options) {
        try (Stream<Path> files = Files.list(options.intentsFolder())) {
            Path intents = Files.createDirectory(folder.resolve("intents"));
            for (Path file : files.toList()) {
                String text = Files.readString(file);
                String changed = options.claimsEnabled() ? text : text.replace("repeatable: false", "repeatable: true");
                Files.writeString(intents.resolve(file.getFileName()), changed);
            }
            return intents;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void printLogs() {
        try (Stream<Path> logs = Files.list(folder)) {
            for (Path log : logs.filter(Files::isRegularFile).sorted().toList()) {
                List<String> lines = Files.readAllLines(log);
                System.err.println("== " + log.getFileName());
                lines.stream()
                        .skip(Math.max(0, lines.size() - PRINTED_LINES_PER_LOG))
                        .forEach(System.err::println);
            }
        } catch (IOException e) {
            System.err.println("cannot read the logs: " + e);
        }
    }

    @Override
    public void close() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> Try.run(() -> Files.delete(file)));
        } catch (IOException e) {
            System.err.println("cannot delete the logs: " + e);
        }
    }
}
