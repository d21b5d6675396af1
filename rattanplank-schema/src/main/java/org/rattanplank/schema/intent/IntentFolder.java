package org.rattanplank.schema.intent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;

/**
 * A folder of intent files, each valid against the schema of its kind.
 *
 * <p>Invariant: the files are ordered by name, which is the merge order. Immutable and thread safe.
 *
 * @param files the files by name
 */
public record IntentFolder(SortedMap<String, IntentFile> files) {
    public IntentFolder {
        files = Collections.unmodifiableSortedMap(new TreeMap<>(files));
    }

    /**
     * Creates a folder without files.
     *
     * @return the empty folder
     */
    public static IntentFolder empty() {
        return new IntentFolder(new TreeMap<>());
    }

    /**
     * Creates a folder of files that are already checked.
     *
     * @param files the files
     * @return the folder
     */
    public static IntentFolder of(Collection<IntentFile> files) {
        SortedMap<String, IntentFile> byName = new TreeMap<>();
        files.forEach(file -> byName.put(file.name(), file));
        return new IntentFolder(byName);
    }

    /**
     * Reads a folder; files whose names start with a dot are ignored.
     *
     * @param folder the folder
     * @return the intents of the folder, or the faults of all files
     */
    public static Either<List<IntentFault>, IntentFolder> read(Path folder) {
        List<IntentFault> faults = new ArrayList<>();
        List<IntentFile> files = new ArrayList<>();
        for (Path path : list(folder, faults)) {
            IntentReader.read(path).peek(files::add).peekLeft(faults::addAll);
        }
        if (faults.isEmpty()) {
            faults.addAll(IntentMerge.check(files));
        }
        return faults.isEmpty() ? Either.right(of(files)) : Either.left(List.copyOf(faults));
    }

    private static List<Path> list(Path folder, List<IntentFault> faults) {
        try (var paths = Files.list(folder)) {
            return paths.filter(path -> !path.getFileName().toString().startsWith("."))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            faults.add(new IntentFault(folder.toString(), 0, "", "a folder that can be read", e.toString()));
            return List.of();
        }
    }

    /**
     * Merges the files in the order of their names.
     *
     * @return one intent for each kind and name
     */
    public List<Intent> merged() {
        return IntentMerge.merge(files.values());
    }
}
