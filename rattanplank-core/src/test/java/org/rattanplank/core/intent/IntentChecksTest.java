package org.rattanplank.core.intent;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanplank.core.host.HostList;
import org.rattanplank.schema.intent.IntentFile;
import org.rattanplank.schema.intent.IntentFolder;

import static org.junit.jupiter.api.Assertions.assertEquals;

class IntentChecksTest {
    private static final String REGIONS =
            """
            {"kind": "region", "name": "suva", "dataCentres": ["suva-hall"]}
            {"kind": "region", "name": "labasa", "dataCentres": ["labasa-hall"]}
            {"kind": "residency", "name": "labasa-only", "regions": ["labasa"]}
            """;

    @ParameterizedTest
    @ValueSource(strings = {"koro", "brazos"})
    void shouldFindNoFaultWhenFolderIsAnExample(String deployment) {
        IntentFolder folder =
                IntentFolder.read(Path.of("..", "examples", deployment)).get();
        assertEquals(List.of(), IntentChecks.check(folder));
    }

    @Test
    void shouldFindFaultsWhenNamesReferToNothing() {
        assertFaults(
                """
                {"kind": "residency", "name": "far", "regions": ["tonga"]}
                {"kind": "account", "name": "floor", "tokenSha256": "aa", "homeRegion": "nadi", "homeDataCentre": "x"}
                {"kind": "limit", "name": "nobody", "concurrent": 2}
                """,
                "3 regions tonga",
                "4 homeRegion nadi",
                "4 homeDataCentre x",
                "5 name nobody");
    }

    @Test
    void shouldFindFaultWhenResidencyForbidsTheHomeRegion() {
        assertFaults(
                """
                {"kind": "account", "name": "floor", "tokenSha256": "aa", "homeRegion": "suva",\
                 "homeDataCentre": "suva-hall", "residency": "labasa-only"}
                """,
                "3 residency labasa-only [labasa]");
    }

    @Test
    void shouldFindFaultWhenSharesDoNotAddUp() {
        assertFaults(
                """
                {"kind": "share", "name": "suva", "share": 0.5}
                {"kind": "share", "name": "labasa", "share": 0.25}
                """,
                "4 share a sum of 0.75");
    }

    @Test
    void shouldFindFaultWhenTwoRegionsHoldOneDataCentre() {
        assertFaults(
                """
                {"kind": "region", "name": "nadi", "dataCentres": ["suva-hall"]}
                """,
                "3 dataCentres suva-hall of suva");
    }

    @Test
    void shouldFindFaultWhenNoTargetMeetsAResidency() {
        IntentFolder folder = IntentFolder.of(files(REGIONS + "{\"kind\": \"service\", \"name\": \"desk\"}"));
        assertEquals(
                "[labasa]",
                IntentChecks.checkTargets(folder, HostList.empty()).get(0).found());
    }

    private static void assertFaults(String intents, String... expected) {
        List<String> found = IntentChecks.check(files(REGIONS + intents)).stream()
                .map(fault -> fault.file().substring(1) + " " + fault.field() + " " + fault.found())
                .toList();
        assertEquals(List.of(expected), found);
    }

    private static List<IntentFile> files(String lines) {
        List<IntentFile> files = new ArrayList<>();
        ObjectMapper json = new ObjectMapper();
        for (String line : lines.lines().toList()) {
            try {
                files.add(IntentFile.of("f" + files.size(), json.readTree(line)));
            } catch (JsonProcessingException e) {
                throw new IllegalArgumentException(line, e);
            }
        }
        return files;
    }
}
