package org.rattanplank.schema.generator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Generates the daemon's settings from their schema: the flags, the typed record, the table of bounds and the reference
 * page.
 *
 * <p>Invariant: the output is deterministic, so that a test can detect stale committed files. Stateless and
 * thread safe.
 */
public final class SettingsGenerator {
    private static final String PACKAGE = "org.rattanplank.daemon.setting.generated";
    private static final String NOTE = "// Generated from settings/daemon.json; see docs/SETTINGS.md. Do not edit.\n";
    private static final String SOURCES = "rattanplank-daemon/src/main/java/" + PACKAGE.replace('.', '/') + "/";

    private SettingsGenerator() {}

    /**
     * Generates all files.
     *
     * @param schema the schema of the settings
     * @return the files by path relative to the root of the repository
     */
    public static Map<String, String> generate(Path schema) {
        List<JsonNode> settings = new ArrayList<>();
        read(schema).get("settings").forEach(settings::add);
        Map<String, String> files = new TreeMap<>();
        files.put(SOURCES + "DaemonFlags.java", flags(settings));
        files.put(SOURCES + "DaemonSettings.java", record(settings));
        files.put(SOURCES + "DaemonTable.java", table(settings));
        files.put("docs/SETTINGS.md", page(settings));
        return files;
    }

    /**
     * Writes all files.
     *
     * @param arguments the schema and the root of the repository
     * @throws IOException if a file cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        for (Map.Entry<String, String> file : generate(Path.of(arguments[0])).entrySet()) {
            Path path = Path.of(arguments[1]).resolve(file.getKey());
            Files.createDirectories(path.getParent());
            Files.writeString(path, file.getValue());
        }
    }

    private static String flags(List<JsonNode> settings) {
        StringBuilder code = new StringBuilder(NOTE)
                .append("package " + PACKAGE + ";\n\n")
                .append("import java.util.Map;\nimport java.util.TreeMap;\n\n")
                .append("import com.beust.jcommander.Parameter;\n\n")
                .append("/** The flags of the command line as text; an absent one is empty. Confined to"
                        + " one thread. */\n")
                .append("public final class DaemonFlags {\n")
                .append("    private static final String ABSENT = \"\";\n\n");
        for (JsonNode setting : settings) {
            code.append("    @Parameter(names = \"--")
                    .append(name(setting))
                    .append("\")\n    private String ")
                    .append(field(setting))
                    .append(" = ABSENT;\n\n");
        }
        code.append("    @Parameter(names = \"--help\", help = true)\n    private boolean help;\n\n")
                .append("    @Parameter(names = \"--check\")\n    private boolean check;\n\n")
                .append("    /**\n     * Returns whether only the list of settings is requested.\n     *\n")
                .append("     * @return whether to print help\n     */\n")
                .append("    public boolean isHelp() {\n        return help;\n    }\n\n")
                .append("    /**\n     * Returns whether the settings are only to be checked.\n     *\n")
                .append("     * @return whether to exit after the check\n     */\n")
                .append("    public boolean isCheck() {\n        return check;\n    }\n\n")
                .append("    /**\n     * Returns the flags that are present.\n     *\n")
                .append("     * @return the values by setting name\n     */\n")
                .append("    public Map<String, String> given() {\n")
                .append("        Map<String, String> given = new TreeMap<>();\n");
        for (JsonNode setting : settings) {
            code.append("        given.put(\"%s\", %s);\n".formatted(name(setting), field(setting)));
        }
        return code.append("        given.values().removeIf(ABSENT::equals);\n        return given;\n    }\n}\n")
                .toString();
    }

    private static String record(List<JsonNode> settings) {
        StringBuilder code = new StringBuilder(NOTE)
                .append("package " + PACKAGE + ";\n\n")
                .append("import org.rattanplank.daemon.setting.SettingValues;\n\n")
                .append("/**\n * All settings of the daemon, validated. Immutable and thread safe.\n *\n");
        for (JsonNode setting : settings) {
            code.append(" * @param %s %s\n".formatted(field(setting), text(setting)));
        }
        String components = settings.stream()
                .map(setting -> "        " + javaType(setting) + " " + field(setting))
                .collect(Collectors.joining(",\n"));
        String arguments = settings.stream()
                .map(setting -> "                values.%s(\"%s\")".formatted(getter(setting), name(setting)))
                .collect(Collectors.joining(",\n"));
        return code.append(" */\npublic record DaemonSettings(\n")
                .append(components)
                .append(") {\n\n    /**\n     * Creates the settings from validated values.\n     *\n")
                .append("     * @param values the values\n     * @return the settings\n     */\n")
                .append("    public static DaemonSettings of(SettingValues values) {\n")
                .append("        return new DaemonSettings(\n")
                .append(arguments)
                .append(");\n    }\n}\n")
                .toString();
    }

    private static String table(List<JsonNode> settings) {
        StringBuilder code = new StringBuilder(NOTE)
                .append("package " + PACKAGE + ";\n\n")
                .append("import java.util.List;\n\n")
                .append("import org.rattanplank.daemon.setting.Setting;\n")
                .append("import org.rattanplank.daemon.setting.SettingType;\n\n")
                .append("/** The table of all settings with their bounds. Stateless and thread safe. */\n")
                .append("public final class DaemonTable {\n")
                .append("    /** All settings in the order of the schema. */\n")
                .append("    public static final List<Setting> SETTINGS = List.of(\n");
        String rows = settings.stream()
                .map(setting ->
                        "            new Setting(\"%s\", SettingType.%s, \"%s\", %s, \"%s\", %dL, %dL, %s, \"%s\")"
                                .formatted(
                                        name(setting),
                                        type(setting).toUpperCase(java.util.Locale.ROOT),
                                        setting.path("unit").asText(),
                                        !setting.has("default"),
                                        setting.path("default").asText(),
                                        setting.path("min").asLong(),
                                        setting.path("max").asLong(),
                                        choices(setting),
                                        text(setting)))
                .collect(Collectors.joining(",\n"));
        return code.append(rows)
                .append(");\n\n    private DaemonTable() {}\n}\n")
                .toString();
    }

    private static String page(List<JsonNode> settings) {
        StringBuilder page = new StringBuilder("# Settings of rattanplankd\n\n")
                .append("Generated from `settings/daemon.json` by `bin/generate`; do not edit. A flag overrides its\n")
                .append(
                        "environment variable. `--help` prints this list; `--check` checks the settings and exits with\n")
                .append("0, or with 2 and a list of all faults.\n\n")
                .append("| flag | environment variable | type | unit | default | bounds | meaning |\n")
                .append("|---|---|---|---|---|---|---|\n");
        for (JsonNode setting : settings) {
            page.append("| `--%s` | `RATTANPLANK_%s` | %s | %s | %s | %s | %s |\n"
                    .formatted(
                            name(setting),
                            name(setting).replace('-', '_').toUpperCase(java.util.Locale.ROOT),
                            type(setting),
                            setting.path("unit").asText(),
                            setting.has("default")
                                    ? "`" + setting.get("default").asText() + "`"
                                    : "required",
                            bounds(setting),
                            text(setting)));
        }
        return page.toString();
    }

    private static String bounds(JsonNode setting) {
        if (setting.has("choices")) {
            List<String> names = new ArrayList<>();
            setting.get("choices").forEach(choice -> names.add("`" + choice.asText() + "`"));
            return String.join(", ", names);
        }
        return setting.has("min")
                ? setting.get("min").asText() + " to " + setting.get("max").asText()
                : "";
    }

    private static String choices(JsonNode setting) {
        List<String> names = new ArrayList<>();
        setting.path("choices").forEach(choice -> names.add("\"" + choice.asText() + "\""));
        return "List.of(" + String.join(", ", names) + ")";
    }

    private static String name(JsonNode setting) {
        return setting.get("name").asText();
    }

    private static String text(JsonNode setting) {
        return setting.get("text").asText();
    }

    private static String type(JsonNode setting) {
        return setting.get("type").asText();
    }

    private static String javaType(JsonNode setting) {
        return type(setting).equals("integer") ? "long" : "String";
    }

    private static String getter(JsonNode setting) {
        return type(setting).equals("integer") ? "number" : "text";
    }

    private static String field(JsonNode setting) {
        StringBuilder field = new StringBuilder();
        for (String word : name(setting).split("-")) {
            field.append(
                    field.isEmpty()
                            ? word
                            : word.substring(0, 1).toUpperCase(java.util.Locale.ROOT) + word.substring(1));
        }
        return field.toString();
    }

    private static JsonNode read(Path path) {
        try {
            return new ObjectMapper().readTree(path.toFile());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
