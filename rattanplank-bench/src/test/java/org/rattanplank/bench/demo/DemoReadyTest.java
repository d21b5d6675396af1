package org.rattanplank.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How the demos wait for the processes that they start. */
@Timeout(60)
class DemoReadyTest {
    private static final Path SCRIPT = Path.of("..", "bin", "ready.sh");
    private static final long LIMIT_SECONDS = 30;
    private static final String BEGINNING = "rattanplankd ready host=suva-1 callers=";
    private static final String REST = "127.0.0.1:8080 peers=127.0.0.1:9090 operators=127.0.0.1:7070\n";

    @TempDir
    private Path folder;

    /**
     * Symptom: one of two starts of bin/demo beside twenty busy loops ends with {@code NumberFormatException: For input
     * string: ""}. Sequence: a process has written the beginning of its line when the script looks for it. Cause: the
     * beginning was taken for the line, and an empty address was cut out of it.
     */
    @Test
    void shouldPrintNothingWhenTheLineIsNotWrittenWhole() throws Exception {
        Path log = Files.writeString(folder.resolve("log"), BEGINNING);

        Process waiting = ready(log, "callers", 3);

        assertEquals("", outputOf(waiting));
        assertNotEquals(0, waiting.exitValue());
    }

    @Test
    void shouldPrintTheAddressWhenTheRestOfTheLineComes() throws Exception {
        Path log = Files.writeString(folder.resolve("log"), "another line\n" + BEGINNING);
        Process waiting = ready(log, "callers", 200);
        Files.writeString(log, REST, StandardOpenOption.APPEND);

        assertEquals("127.0.0.1:8080\n", outputOf(waiting));
        assertEquals("127.0.0.1:7070\n", outputOf(ready(log, "operators", 1)));
    }

    private static Process ready(Path log, String word, int tenths) throws IOException {
        String call = ". " + SCRIPT + "; ready '" + log + "' 'rattanplankd ready' " + word + " " + tenths;
        return new ProcessBuilder("bash", "-c", "set -euo pipefail; " + call)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static String outputOf(Process process) throws Exception {
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS));
        return output;
    }
}
