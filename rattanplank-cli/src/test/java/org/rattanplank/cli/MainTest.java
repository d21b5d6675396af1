package org.rattanplank.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.http.Exchange;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.platform.Platform;
import org.rattanplank.standins.platform.PlatformOptions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MainTest {
    private static final String REGION = "kind: region\nname: suva\ndataCentres: [suva-hall]\n";
    private static final String SERVICE = "kind: service\nname: crew-desk\ntype: plain\nrepeatable: ";

    private final EventLoop loop = EventLoop.of();
    private final String store = Addresses.format(Platform.serve(loop, new PlatformOptions()));
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path firstFolder;

    @TempDir
    private Path secondFolder;

    @BeforeEach
    void writeFolder() throws Exception {
        Files.writeString(firstFolder.resolve("10-region.yaml"), REGION);
        Files.writeString(firstFolder.resolve("30-service.yaml"), SERVICE + "false\n");
    }

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    @Test
    void shouldNameFileAndLineOfEveryFaultWhenTwoFilesAreFaulty() throws Exception {
        Files.writeString(firstFolder.resolve("10-region.yaml"), "kind: region\nname: 7\n");
        Files.writeString(firstFolder.resolve("30-service.yaml"), SERVICE + "maybe\n");
        assertEquals(ExitCode.REFUSED, run("check", firstFolder.toString()));
        assertTrue(out.toString().contains("10-region.yaml:"), out.toString());
        assertTrue(out.toString().contains("30-service.yaml:4: "), out.toString());
    }

    @Test
    void shouldApplyOnceWhenSameFolderIsAppliedTwice() throws Exception {
        assertTrue(runJson("apply", firstFolder.toString()).path("changed").asBoolean());
        JsonNode again = runJson("apply", firstFolder.toString());
        assertFalse(again.path("changed").asBoolean());
        assertEquals(1, again.path("generation").asInt());
    }

    @Test
    void shouldReportCausesAndSizesWhenLossesAreRequestedAsJson() throws Exception {
        Path log = firstFolder.resolve("suva-1.log");
        Files.writeString(
                log,
                "{\"event\":\"ended\",\"route\":\"torque\",\"outcome\":\"answered\",\"status\":200,"
                        + "\"promptTokens\":100,\"outputTokens\":10,\"events\":2}\n");
        JsonNode losses = runJson("losses", "--logs", log.toString());
        assertEquals("in time", losses.path("causes").get(0).path("cause").asText());
        assertEquals(1, losses.path("sizes").get(0).path("servedShare").asDouble());
    }

    // Symptom: an operator's new file disappears. Sequence: two operators pull the same generation, each adds a file,
    // and both apply. Cause: the second apply replaces the whole folder with one that lacks the first operator's file.
    @Test
    void shouldKeepBothFilesWhenTwoOperatorsApplyConcurrently() throws Exception {
        run("apply", firstFolder.toString());
        run("pull", secondFolder.toString());
        Files.writeString(firstFolder.resolve("40-mine.yaml"), "kind: retire\nname: suva-1\n");
        Files.writeString(secondFolder.resolve("40-theirs.yaml"), "kind: retire\nname: suva-2\n");
        assertEquals(ExitCode.DONE, run("apply", firstFolder.toString()));
        assertEquals(ExitCode.DONE, run("apply", secondFolder.toString()));
        assertEquals(ExitCode.DONE, run("apply", firstFolder.toString()));
        assertEquals(ExitCode.DONE, run("pull", firstFolder.toString()));
        assertTrue(Files.exists(firstFolder.resolve("40-theirs.yaml")));
        assertTrue(Files.exists(firstFolder.resolve("40-mine.yaml")));
    }

    // Symptom: an operator's change of a file is lost. Sequence: two operators change the same file of the same
    // generation, and both apply. Cause: the later apply does not detect that its copy of the file is outdated.
    @Test
    void shouldRejectSecondChangeWhenTwoOperatorsChangeSameFile() throws Exception {
        run("apply", firstFolder.toString());
        run("pull", secondFolder.toString());
        Files.writeString(firstFolder.resolve("30-service.yaml"), SERVICE + "true\n");
        Files.writeString(secondFolder.resolve("30-service.yaml"), SERVICE + "true\nversion: b@2\n");
        assertEquals(ExitCode.DONE, run("apply", firstFolder.toString()));
        assertEquals(ExitCode.REFUSED, run("diff", secondFolder.toString()));
        JsonNode conflict = runJson("apply", secondFolder.toString());
        assertEquals("30-service.yaml", conflict.at("/conflicts/0/file").asText());
        assertEquals(2, conflict.path("generation").asInt());
    }

    @Test
    void shouldKeepFolderUnchangedWhenPullWouldLoseUnappliedChanges() throws Exception {
        run("apply", firstFolder.toString());
        Files.writeString(firstFolder.resolve("30-service.yaml"), SERVICE + "true\n");
        assertEquals(ExitCode.REFUSED, run("pull", firstFolder.toString()));
        assertEquals(SERVICE + "true\n", Files.readString(firstFolder.resolve("30-service.yaml")));
    }

    @Test
    void shouldReturnDistinctExitCodesWhenUsageIsWrongOrServersAreUnreachable() {
        assertEquals(ExitCode.USAGE, run("nonsense"));
        assertEquals(ExitCode.USAGE, run("status"));
        assertEquals(ExitCode.USAGE, run("diff", "--timeout-millis", "soon", firstFolder.toString()));
        assertEquals(ExitCode.UNREACHABLE, run("status", "--operators", closedAddress()));
        assertEquals(ExitCode.UNREACHABLE, run("diff", "--store", closedAddress(), firstFolder.toString()));
        assertEquals(ExitCode.DONE, run("version"));
    }

    @Test
    void shouldReportNotInForceWhenHostHasOlderGeneration() throws Exception {
        String host = Addresses.format(loop.serve(0, MainTest::answerStatus));
        JsonNode waited = runJson("apply", "--wait", "--wait-millis", "1", "--operators", host, firstFolder.toString());
        assertEquals("suva-1", waited.at("/notInForceAt/0").asText());
        assertTrue(err.toString().contains("suva: 0 of 1 hosts at generation 1"), err.toString());
    }

    @Test
    void shouldDrainOnlyNamedHostWhenItIsReachable() {
        String host = Addresses.format(loop.serve(0, MainTest::answerStatus));
        assertEquals(ExitCode.DONE, run("drain", "--operators", host, "suva-1"));
        assertEquals(ExitCode.REFUSED, run("drain", "--operators", host, "suva-9"));
    }

    @Test
    void shouldListEntryHostsWithAddressesWhenAsked() {
        String host = Addresses.format(loop.serve(0, MainTest::answerEntryHosts));
        assertEquals(ExitCode.DONE, run("entry-hosts", "--operators", host));
        assertTrue(out.toString().contains("suva-1 in suva-hall at 127.0.0.1:8080"), out.toString());
    }

    @Test
    void shouldListCandidatesWithScoresWhenRequestIsExplained() {
        String host = Addresses.format(loop.serve(0, MainTest::answerExplanation));
        assertEquals(ExitCode.DONE, run("explain", "--operators", host, "r1"));
        assertTrue(out.toString().contains("attempt 1: desk-1"), out.toString());
        assertTrue(out.toString().contains("desk-2: leaving, score 0.5"), out.toString());
    }

    @Test
    void shouldShowLoadOfTargetsWhenAskedForStatus() {
        String host = Addresses.format(loop.serve(0, MainTest::answerStatus));
        assertEquals(ExitCode.DONE, run("status", "--operators", host));
        assertTrue(out.toString().contains("target desk-1 of crew-desk, running 3 of 8, queued 1"), out.toString());
    }

    private static void answerEntryHosts(Exchange exchange) {
        exchange.respond(
                200,
                Json.readOrEmpty("{\"hosts\":[{\"host\":\"suva-1\",\"dataCentre\":\"suva-hall\","
                        + "\"address\":\"127.0.0.1\",\"port\":8080}],\"ttlMillis\":2000}"));
    }

    private static void answerExplanation(Exchange exchange) {
        exchange.respond(
                200,
                Json.readOrEmpty(
                        "{\"requestId\":\"r1\",\"service\":\"crew-desk\",\"outcome\":\"answered\",\"routings\":["
                                + "{\"route\":{\"target\":\"desk-1\"},\"candidates\":["
                                + "{\"peer\":\"desk-2\",\"verdict\":\"leaving\",\"score\":0.5}]}]}"));
    }

    private static void answerStatus(Exchange exchange) {
        String status =
                "{\"identity\":{\"host\":\"suva-1\",\"place\":{\"region\":\"suva\",\"dataCentre\":\"suva-hall\"}},"
                        + "\"generation\":0,\"targets\":[{\"name\":\"desk-1\",\"service\":\"crew-desk\"}],"
                        + "\"loads\":[{\"target\":\"desk-1\",\"running\":3,\"queued\":1,\"slots\":8}]}";
        exchange.respond(200, Json.readOrEmpty(status));
    }

    private String closedAddress() {
        return "127.0.0.1:1";
    }

    private ExitCode run(String... args) {
        out.reset();
        Console console =
                new Console(new PrintStream(out, true), new PrintStream(err, true), Map.of("RATTANPLANK_STORE", store));
        return Main.run(console, args);
    }

    private JsonNode runJson(String command, String... args) throws Exception {
        String[] line = io.vavr.collection.List.of(args)
                .prepend("--json")
                .prepend(command)
                .toJavaArray(String[]::new);
        run(line);
        return JsonHttpClient.JSON.readTree(out.toString(StandardCharsets.UTF_8));
    }
}
