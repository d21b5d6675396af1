package org.rattanplank.daemon.setting;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.rattanplank.daemon.setting.generated.DaemonSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SettingsReaderTest {
    private static final List<String> REQUIRED = List.of(
            "--host",
            "suva-1",
            "--region",
            "suva",
            "--data-centre",
            "suva-hall",
            "--hosts-url",
            "http://127.0.0.1:1",
            "--store-url",
            "http://127.0.0.1:1");

    @Test
    void shouldReportEveryErrorWhenSeveralSettingsAreInvalid() {
        List<SettingError> errors = SettingsReader.read(
                        List.of(
                                "--host",
                                "a b",
                                "--region",
                                "suva",
                                "--data-centre",
                                "suva-hall",
                                "--hosts-url",
                                "http://127.0.0.1:1",
                                "--workers",
                                "0",
                                "--policy",
                                "cost",
                                "--policy",
                                "tail",
                                "--frobs",
                                "7",
                                "--seed"),
                        Map.of("RATTANPLANK_PEERS_PORT", "70000", "RATTANPLANK_FROBS", "7"))
                .getLeft();
        assertEquals(
                List.of(
                        new SettingError("--policy", "tail", "only one value"),
                        new SettingError("--frobs", "", "a flag that --help lists"),
                        new SettingError("--seed", "", "a value"),
                        new SettingError("--host", "a b", "1 to 63 letters, digits, dots, underscores or hyphens"),
                        new SettingError("--store-url", "", "a value, which is required"),
                        new SettingError("RATTANPLANK_PEERS_PORT", "70000", "a whole number from 0 to 65535"),
                        new SettingError("--workers", "0", "a whole number from 1 to 64"),
                        new SettingError("RATTANPLANK_FROBS", "7", "a variable that --help lists")),
                errors);
    }

    @Test
    void shouldReportContradictionsWhenEachSettingAloneIsValid() {
        List<String> arguments = new ArrayList<>(REQUIRED);
        arguments.addAll(List.of(
                "--callers-port",
                "8080",
                "--operators-port",
                "8080",
                "--trace-exporter",
                "otlp",
                "--default-timeout-millis",
                "2000",
                "--max-timeout-millis",
                "1000",
                "--max-body-bytes",
                "4194304"));
        List<String> reported = SettingsReader.read(arguments, Map.of()).getLeft().stream()
                .map(SettingError::setting)
                .toList();
        assertEquals(
                List.of("--default-timeout-millis", "--max-body-bytes", "--trace-url", "--operators-port"), reported);
    }

    @Test
    void shouldPreferFlagToVariableWhenBothAreGiven() {
        List<String> arguments = new ArrayList<>(REQUIRED);
        arguments.addAll(List.of("--workers", "2"));
        DaemonSettings settings = SettingsReader.read(
                        arguments, Map.of("RATTANPLANK_WORKERS", "3", "RATTANPLANK_IO_THREADS", "5"))
                .get();
        assertEquals(2, settings.workers());
        assertEquals(5, settings.ioThreads());
        assertEquals("127.0.0.1", settings.callersAddress());
    }

    @Test
    void shouldListFlagAndVariableOfEverySettingWhenHelpIsRequested() {
        String help = SettingsReader.help();
        org.rattanplank.daemon.setting.generated.DaemonTable.SETTINGS.forEach(setting -> {
            assertTrue(help.contains(setting.flag() + " "), setting.name());
            assertTrue(help.contains(setting.environment() + ","), setting.name());
        });
    }
}
