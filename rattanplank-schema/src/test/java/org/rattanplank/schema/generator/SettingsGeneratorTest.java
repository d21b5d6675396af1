package org.rattanplank.schema.generator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SettingsGeneratorTest {
    private static final Path SCHEMA = Path.of("src/main/resources/org/rattanplank/schema/settings/daemon.json");
    private static final Path ROOT = Path.of("..");

    @Test
    void shouldMatchCommittedFilesWhenGeneratedAgain() throws IOException {
        Map<String, String> generated = SettingsGenerator.generate(SCHEMA);
        Map<String, String> committed = new TreeMap<>();
        for (String file : generated.keySet()) {
            committed.put(file, Files.readString(ROOT.resolve(file)));
        }
        assertEquals(committed, generated, "stale: run bin/generate");
    }
}
