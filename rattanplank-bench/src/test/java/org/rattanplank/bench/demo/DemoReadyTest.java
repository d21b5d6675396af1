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

/** Tests how the demo scripts wait until the processes that they start are ready. */
@Timeout(60)
class DemoReadyTest {
    private static final Path SCRIPT = Path.of("..", "bin", "ready.sh");
    private static final long EXIT_TIMEOUT_SECONDS = 30;
    private static final String LINE_START = "rattanplankd ready host=suva-1 callers=";
    private static final String LINE_END = "127.0.0.1:8080 peers=127.0.0.1:9090 operators=127.0.0.1:7070\n";

    @TempDir
    private Path folder;

    /**
     * Guards against an empty address that is read from an incomplete ready line, when the script reads the log while
     * the process has written only the beginning of the line. On a machine with twenty busy loops, one of two
     * starts of bin/demo failed with {@code NumberFormatException: For input string: ""}.
     */
    @Test
    void shouldPrintNothingWhenReadyLineIsIncomplete() throws Exception {
        Path log = Files.writeString(folder.resolve("log"), LINE_START);

        Process waiting = ready(log, "callers", 3);

        assertEquals("", outputOf(waiting));
        assertNotEquals(0, waiting.exitValue());
    }

    @Test
    void shouldPrintAddressWhenReadyLineIsCompleted() throws Exception {
        Path log = Files.writeString(folder.resolve("log"), "another line\n" + LINE_START);
        Process waiting = ready(log, "callers", 200);
        Files.writeString(log, LINE_END, StandardOpenOption.APPEND);

        assertEquals("127.0.0.1:8080\n", outputOf(waiting));
        assertEquals("127.0.0.1:7070\n", outputOf(ready(log, "operators", 1)));
    }

    private static Process ready(Path log, String field, int timeoutTenths) throws IOException {
        String call = ". " + SCRIPT + "; ready '" + log + "' 'rattanplankd ready' " + field + " " + timeoutTenths;
        return new ProcessBuilder("bash", "-c", "set -euo pipefail; " + call)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static String outputOf(Process process) throws Exception {
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return output;
    }
}
