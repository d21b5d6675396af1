package org.rattanplank.schema.intent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;

/** Reads files with one intent each and checks them against the schema of its kind. Stateless and thread safe. */
final class IntentReader {
    private static final long MAX_FILE_BYTES = 64 * 1024;
    private static final YAMLMapper YAML = YAMLMapper.builder(YAMLFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private IntentReader() {}

    static Either<List<IntentFault>, IntentFile> read(Path path) {
        String name = path.getFileName().toString();
        // Files with other extensions are faults, not ignored: if an operator mistyped the extension of a retire
        // intent, the folder would be accepted and the host would stay in service.
        if (!name.endsWith(".yaml") && !name.endsWith(".yml")) {
            return fault(name, 0, "", "a name that ends in .yaml or .yml", name);
        }
        try {
            if (!Files.isRegularFile(path) || Files.size(path) > MAX_FILE_BYTES) {
                return fault(name, 0, "", "a file of at most " + MAX_FILE_BYTES + " bytes", "something else");
            }
            String text = Files.readString(path);
            JsonNode content = YAML.readTree(text);
            if (!content.isObject()) {
                return fault(
                        name, 1, "", "one intent with its fields", content.isMissingNode() ? "nothing" : "a value");
            }
            return check(new IntentFile(name, content, linesOf(text)));
        } catch (JsonProcessingException e) {
            int line = Option.of(e.getLocation())
                    .map(location -> location.getLineNr())
                    .getOrElse(0);
            return fault(
                    name,
                    line,
                    "",
                    "well-formed YAML",
                    e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            return fault(name, 0, "", "a file that can be read", e.toString());
        }
    }

    private static Either<List<IntentFault>, IntentFile> check(IntentFile file) {
        Option<IntentKind> kind = IntentKind.of(file.kind());
        if (kind.isEmpty()) {
            String found = file.kind().isEmpty() ? "nothing" : file.kind();
            return Either.left(List.of(file.fault("kind", "one of " + IntentKind.labels(), found)));
        }
        if (file.subject().isEmpty()) {
            return Either.left(List.of(file.fault("name", "a name", "nothing")));
        }
        List<IntentFault> faults = IntentSchemas.checkFile(file, kind.get());
        return faults.isEmpty() ? Either.right(file) : Either.left(faults);
    }

    private static Map<String, Integer> linesOf(String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = YAML.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        }
        return lines;
    }

    private static Either<List<IntentFault>, IntentFile> fault(
            String file, int line, String field, String expected, String found) {
        return Either.left(List.of(new IntentFault(file, line, field, expected, found)));
    }
}
