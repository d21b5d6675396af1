package org.rattanplank.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.platform.SiteStore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests applying and pulling folders of intents with the platform's store. */
@Timeout(60)
class PlatformClientTest {
    private final EventLoop loop = EventLoop.of();
    private final SiteStore store = SiteStore.of(loop);
    private final String address = "platform://" + Addresses.format(store.serve(0));
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @TempDir
    private Path firstFolder;

    @TempDir
    private Path secondFolder;

    @AfterEach
    void closeStore() {
        loop.close();
    }

    private ExitCode run(String... args) {
        PrintStream stream = new PrintStream(out, true);
        return Main.run(new Console(stream, stream, Map.of("RATTANPLANK_STORE", address)), args);
    }

    private static void writeRetireIntent(Path folder, String file, String host) throws IOException {
        Files.writeString(folder.resolve(file), "kind: retire\nname: " + host + "\n");
    }

    @Test
    void shouldPullAppliedFilesWhenPlatformStoreIsUsed() throws IOException {
        writeRetireIntent(firstFolder, "50-retire-a.yaml", "suva-1");
        assertEquals(ExitCode.DONE, run("apply", firstFolder.toString()), out::toString);

        assertEquals(ExitCode.DONE, run("pull", secondFolder.toString()), out::toString);

        assertTrue(Files.exists(secondFolder.resolve("50-retire-a.yaml")), out::toString);
    }

    @Test
    void shouldMergeWhenTwoOperatorsChangeDifferentFiles() throws IOException {
        writeRetireIntent(firstFolder, "50-retire-a.yaml", "suva-1");
        writeRetireIntent(secondFolder, "60-retire-b.yaml", "suva-2");

        assertEquals(ExitCode.DONE, run("apply", firstFolder.toString()), out::toString);
        assertEquals(ExitCode.DONE, run("apply", secondFolder.toString()), out::toString);
        assertEquals(ExitCode.DONE, run("pull", firstFolder.toString()), out::toString);

        assertTrue(Files.exists(firstFolder.resolve("60-retire-b.yaml")), out::toString);
    }

    @Test
    void shouldRejectApplyWhenAnotherOperatorChangedSameFile() throws IOException {
        writeRetireIntent(firstFolder, "50-retire.yaml", "suva-1");
        writeRetireIntent(secondFolder, "50-retire.yaml", "suva-2");

        assertEquals(ExitCode.DONE, run("apply", firstFolder.toString()), out::toString);

        assertEquals(ExitCode.REFUSED, run("apply", secondFolder.toString()), out::toString);
    }

    @Test
    void shouldReportUnreachableWhenStoreRefusesCalls() throws IOException {
        writeRetireIntent(firstFolder, "50-retire.yaml", "suva-1");
        store.down(true);

        assertEquals(ExitCode.UNREACHABLE, run("apply", firstFolder.toString()), out::toString);
    }
}
