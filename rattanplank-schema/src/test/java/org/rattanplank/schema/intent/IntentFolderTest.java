package org.rattanplank.schema.intent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class IntentFolderTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"koro", "brazos"})
    void shouldReadFolderWhenItIsAnExample(String deployment) {
        var read = IntentFolder.read(Path.of("..", "examples", deployment));
        assertTrue(read.isRight(), read::toString);
        assertEquals(10, read.get().merged().size());
    }

    @Test
    void shouldNameEveryFileAndLineWhenTwoFilesAreFaulty() throws IOException {
        write("10-a.yaml", "kind: share\nname: suva\n# too much\nshare: 2\n");
        write("20-b.yaml", "kind: account\nname: floor\nhomeRegion: suva\ntokenSha: abc\n");
        write("30-c.yaml", "kind: hostname\nname: floor\n");
        write("40-d.yaml", "kind: retire\nname: a\nname: b\n");
        write("50-e.ymal", "kind: retire\nname: a\n");
        List<IntentFault> faults = IntentFolder.read(folder).getLeft();
        assertEquals(
                List.of(
                        "10-a.yaml:4 share",
                        "20-b.yaml:4 tokenSha",
                        "30-c.yaml:1 kind",
                        "40-d.yaml:3 ",
                        "50-e.ymal:0 "),
                faults.stream()
                        .map(fault -> fault.file() + ":" + fault.line() + " " + fault.field())
                        .toList());
        assertEquals(
                "10-a.yaml:4: share: expected at most 1, found 2", faults.get(0).toLine());
    }

    @Test
    void shouldMergeFieldByFieldWhenLaterFileHasSameKindAndName() throws IOException {
        write("10-a.yaml", "kind: service\nname: desk\ntype: plain\nversion: desk@1\n");
        write("20-b.yaml", "kind: service\nname: desk\nversion: desk@2\n");
        Intent intent = IntentFolder.read(folder).get().merged().get(0);
        assertEquals("plain", intent.content().path("type").asText());
        assertEquals("desk@2", intent.content().path("version").asText());
        assertEquals("20-b.yaml", intent.originOf("version").name());
    }

    @Test
    void shouldReportFaultWhenRequiredFieldIsMissingOrFileChangesNothing() throws IOException {
        write("10-a.yaml", "kind: service\nname: desk\nversion: desk@1\n");
        write("20-b.yaml", "kind: retire\nname: host-1\n");
        write("30-c.yaml", "kind: retire\nname: host-1\n");
        List<IntentFault> faults = IntentFolder.read(folder).getLeft();
        assertEquals(
                List.of("10-a.yaml type", "30-c.yaml name"),
                faults.stream().map(fault -> fault.file() + " " + fault.field()).toList());
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }
}
