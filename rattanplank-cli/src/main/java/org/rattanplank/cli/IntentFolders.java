package org.rattanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import io.vavr.control.Either;
import org.rattanplank.core.intent.IntentChecks;
import org.rattanplank.schema.intent.IntentFault;
import org.rattanplank.schema.intent.IntentFolder;

/** Reads, checks and writes folders of intents. Stateless and thread safe. */
final class IntentFolders {
    private static final ObjectMapper YAML =
            new ObjectMapper(new YAMLFactory().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER));

    private IntentFolders() {}

    static Either<Report, IntentFolder> check(Path folder) {
        return IntentFolder.read(folder).mapLeft(IntentFolders::faultReport).flatMap(intents -> {
            List<IntentFault> faults = IntentChecks.check(intents);
            return faults.isEmpty() ? Either.right(intents) : Either.left(faultReport(faults));
        });
    }

    static SortedMap<String, JsonNode> contents(IntentFolder folder) {
        SortedMap<String, JsonNode> contents = new TreeMap<>();
        folder.files().forEach((name, file) -> contents.put(name, file.content()));
        return contents;
    }

    static Report faultReport(List<IntentFault> faults) {
        ObjectNode json = JsonHttpClient.JSON.createObjectNode();
        ArrayNode array = json.putArray("faults");
        for (IntentFault fault : faults) {
            array.addObject()
                    .put("file", fault.file())
                    .put("line", fault.line())
                    .put("field", fault.field())
                    .put("expected", fault.expected())
                    .put("found", fault.found());
        }
        List<String> lines = io.vavr.collection.List.ofAll(faults)
                .map(IntentFault::toLine)
                .append(faults.size() + " faults; nothing was applied")
                .asJava();
        return Report.of(ExitCode.REFUSED, lines, json);
    }

    static void write(Path folder, String name, JsonNode content) throws IOException {
        String text = name.endsWith(".json")
                ? JsonHttpClient.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(content)
                : YAML.writeValueAsString(content);
        Files.writeString(folder.resolve(name), text);
    }
}
