package org.rattanplank.schema.generator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SchemaGeneratorTest {
    private static final Path SCHEMAS = Path.of("src/main/resources/org/rattanplank/schema/messages");
    private static final Path SOURCES = Path.of("src/main/java/org/rattanplank/schema/message");

    @Test
    void shouldMatchCommittedSourcesWhenGeneratedAgain() throws IOException {
        Map<String, String> committed = new TreeMap<>();
        try (var paths = Files.list(SOURCES)) {
            for (Path path : paths.toList()) {
                committed.put(path.getFileName().toString(), Files.readString(path));
            }
        }
        assertEquals(committed, SchemaGenerator.generate(SCHEMAS), "stale: run bin/generate");
    }
}
