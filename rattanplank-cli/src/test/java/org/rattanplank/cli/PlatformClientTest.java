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

/** The folder of intents on the store of the users' platform. */
@Timeout(60)
class PlatformClientTest {
    private final EventLoop loop = EventLoop.of();
    private final SiteStore store = SiteStore.of(loop);
    private final String address = "platform://" + Addresses.write(store.serve(0));
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @TempDir
    private Path first;

    @TempDir
    private Path second;

    @AfterEach
    void closeStore() {
        loop.close();
    }

    private ExitCode run(String... args) {
        PrintStream stream = new PrintStream(out, true);
        return Main.run(new Console(stream, stream, Map.of("RATTANPLANK_STORE", address)), args);
    }

    private static void retire(Path folder, String file, String host) throws IOException {
        Files.writeString(folder.resolve(file), "kind: retire\nname: " + host + "\n");
    }

    @Test
    void shouldPullWhatWasAppliedWhenTheStoreIsThePlatforms() throws IOException {
        retire(first, "50-retire-a.yaml", "suva-1");
        assertEquals(ExitCode.DONE, run("apply", first.toString()), out::toString);

        assertEquals(ExitCode.DONE, run("pull", second.toString()), out::toString);

        assertTrue(Files.exists(second.resolve("50-retire-a.yaml")), out::toString);
    }

    @Test
    void shouldMergeWhenTwoOperatorsChangeDifferentFiles() throws IOException {
        retire(first, "50-retire-a.yaml", "suva-1");
        retire(second, "60-retire-b.yaml", "suva-2");

        assertEquals(ExitCode.DONE, run("apply", first.toString()), out::toString);
        assertEquals(ExitCode.DONE, run("apply", second.toString()), out::toString);
        assertEquals(ExitCode.DONE, run("pull", first.toString()), out::toString);

        assertTrue(Files.exists(first.resolve("60-retire-b.yaml")), out::toString);
    }

    @Test
    void shouldRefuseWhenAnotherOperatorChangedTheSameFile() throws IOException {
        retire(first, "50-retire.yaml", "suva-1");
        retire(second, "50-retire.yaml", "suva-2");

        assertEquals(ExitCode.DONE, run("apply", first.toString()), out::toString);

        assertEquals(ExitCode.REFUSED, run("apply", second.toString()), out::toString);
    }

    @Test
    void shouldSayThatTheStoreIsOutOfReachWhenItRefusesCalls() throws IOException {
        retire(first, "50-retire.yaml", "suva-1");
        store.down(true);

        assertEquals(ExitCode.UNREACHABLE, run("apply", first.toString()), out::toString);
    }
}
