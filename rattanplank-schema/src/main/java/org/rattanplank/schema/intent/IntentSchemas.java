package org.rattanplank.schema.intent;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;

/** Checks intents against the JSON Schema of their kind. Thread safe, because the schemas are immutable. */
final class IntentSchemas {
    private static final String REQUIRED = "required";
    private static final String MIN_PROPERTIES = "minProperties";
    private static final String ADDITIONAL_PROPERTIES = "additionalProperties";
    private static final Map<IntentKind, JsonSchema> SCHEMAS = load();

    private IntentSchemas() {}

    /** Checks the fields that a file sets; missing ones may be set by another file. */
    static List<IntentFault> checkFile(IntentFile file, IntentKind kind) {
        List<IntentFault> faults = new ArrayList<>();
        for (ValidationMessage message : SCHEMAS.get(kind).validate(file.content())) {
            if (isMissingFieldMessage(message)) {
                continue;
            }
            String pointer = pointerOf(message);
            faults.add(new IntentFault(
                    file.name(),
                    file.lineOf(pointer),
                    pointer.substring(Math.min(1, pointer.length())),
                    expected(message, kind),
                    found(file.content().at(pointer))));
        }
        return faults;
    }

    /** Checks that the merged intent has every field that its kind requires. */
    static List<IntentFault> checkMerged(Intent intent) {
        List<IntentFault> faults = new ArrayList<>();
        for (ValidationMessage message : SCHEMAS.get(intent.kind()).validate(intent.content())) {
            if (REQUIRED.equals(message.getType())) {
                faults.add(intent.originOf("name").fault(message.getProperty(), "a value", "nothing"));
            } else if (MIN_PROPERTIES.equals(message.getType())) {
                faults.add(intent.fault("name", "at least one of " + fields(intent.kind()), "none of them"));
            }
        }
        return faults;
    }

    private static boolean isMissingFieldMessage(ValidationMessage message) {
        return REQUIRED.equals(message.getType()) || MIN_PROPERTIES.equals(message.getType());
    }

    private static String pointerOf(ValidationMessage message) {
        StringBuilder pointer = new StringBuilder();
        for (int i = 0; i < message.getInstanceLocation().getNameCount(); i++) {
            pointer.append('/').append(message.getInstanceLocation().getElement(i));
        }
        if (ADDITIONAL_PROPERTIES.equals(message.getType())) {
            pointer.append('/').append(message.getProperty());
        }
        return pointer.toString();
    }

    private static String expected(ValidationMessage message, IntentKind kind) {
        JsonNode rule = message.getSchemaNode();
        return switch (message.getType()) {
            case ADDITIONAL_PROPERTIES -> "one of the fields " + fields(kind);
            case "type" -> "a value of type " + rule.asText();
            case "enum" -> "one of " + rule;
            case "pattern" -> "text that matches " + rule.asText();
            case "minimum" -> "at least " + rule;
            case "maximum" -> "at most " + rule;
            case "exclusiveMinimum" -> "more than " + rule;
            case "minItems" -> "at least " + rule + " entries";
            case "maxLength" -> "at most " + rule + " characters";
            case "uniqueItems" -> "no entry twice";
            default -> message.getType() + " " + rule;
        };
    }

    private static String fields(IntentKind kind) {
        List<String> names = new ArrayList<>();
        SCHEMAS.get(kind).getSchemaNode().path("properties").fieldNames().forEachRemaining(names::add);
        return String.join(", ", names);
    }

    private static String found(JsonNode node) {
        return node.isMissingNode() ? "nothing" : node.toString();
    }

    private static Map<IntentKind, JsonSchema> load() {
        JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
        Map<IntentKind, JsonSchema> schemas = new EnumMap<>(IntentKind.class);
        for (IntentKind kind : IntentKind.values()) {
            String resource = "/org/rattanplank/schema/intents/" + kind.label() + ".json";
            try (InputStream schema = IntentSchemas.class.getResourceAsStream(resource)) {
                schemas.put(kind, factory.getSchema(schema));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return schemas;
    }
}
