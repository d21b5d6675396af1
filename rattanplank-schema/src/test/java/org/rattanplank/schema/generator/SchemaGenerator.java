package org.rattanplank.schema.generator;

import javax.lang.model.element.Modifier;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.palantir.javapoet.AnnotationSpec;
import com.palantir.javapoet.ArrayTypeName;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;

/**
 * Generates message records from JSON Schemas.
 *
 * <p>Invariant: the output is deterministic, so that a test can detect stale committed sources. Not thread safe.
 */
public final class SchemaGenerator {
    private static final String PACKAGE = "org.rattanplank.schema.message";
    private static final ClassName ROOT = ClassName.get(PACKAGE, "PeerMessage");
    private static final ClassName UNKNOWN = ClassName.get(PACKAGE, "UnknownMessage");

    private final Map<String, String> files = new TreeMap<>();
    private final List<ClassName> groups = new ArrayList<>();
    private final List<ClassName> kinds = new ArrayList<>();

    private SchemaGenerator() {}

    /**
     * Generates the sources of all messages.
     *
     * @param schemas the folder of message schemas
     * @return the sources by file name
     */
    public static Map<String, String> generate(Path schemas) {
        SchemaGenerator generator = new SchemaGenerator();
        try (var paths = Files.list(schemas)) {
            paths.filter(path -> path.toString().endsWith(".json")).sorted().forEach(generator::addGroup);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        generator.addRoot();
        return generator.files;
    }

    /**
     * Writes the sources of all messages and deletes those without a schema.
     *
     * @param arguments the folder of schemas and the folder of sources
     * @throws IOException if a file cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        Path sources = Path.of(arguments[1]);
        Files.createDirectories(sources);
        Map<String, String> generated = generate(Path.of(arguments[0]));
        try (var existing = Files.list(sources)) {
            for (Path path : existing.toList()) {
                if (!generated.containsKey(path.getFileName().toString())) {
                    Files.delete(path);
                }
            }
        }
        for (Map.Entry<String, String> file : generated.entrySet()) {
            Files.writeString(sources.resolve(file.getKey()), file.getValue());
        }
    }

    private void addGroup(Path path) {
        JsonNode schema = read(path);
        ClassName group = ClassName.get(PACKAGE, schema.get("title").asText());
        groups.add(group);
        TypeSpec.Builder type = TypeSpec.interfaceBuilder(group)
                .addModifiers(Modifier.PUBLIC, Modifier.SEALED)
                .addJavadoc("$L\n", schema.get("description").asText())
                .addSuperinterface(ROOT);
        for (Iterator<Map.Entry<String, JsonNode>> it = schema.get("$defs").fields(); it.hasNext(); ) {
            Map.Entry<String, JsonNode> definition = it.next();
            ClassName name = ClassName.get(PACKAGE, definition.getKey());
            boolean message = !definition.getValue().path("part").asBoolean(false);
            if (message) {
                kinds.add(name);
                type.addPermittedSubclass(name);
            }
            emit(record(name, definition.getValue(), message ? group : null));
        }
        emit(type.build());
    }

    private void addRoot() {
        AnnotationSpec.Builder subtypes = AnnotationSpec.builder(JsonSubTypes.class);
        for (ClassName kind : kinds) {
            subtypes.addMember(
                    "value",
                    "$L",
                    AnnotationSpec.builder(JsonSubTypes.Type.class)
                            .addMember("value", "$T.class", kind)
                            .addMember("name", "$S", kind.simpleName())
                            .build());
        }
        TypeSpec.Builder root = TypeSpec.interfaceBuilder(ROOT)
                .addModifiers(Modifier.PUBLIC, Modifier.SEALED)
                .addJavadoc("A message between two entry hosts.\n")
                .addAnnotation(AnnotationSpec.builder(JsonTypeInfo.class)
                        .addMember("use", "$T.Id.NAME", JsonTypeInfo.class)
                        .addMember("property", "$S", "kind")
                        .addMember("defaultImpl", "$T.class", UNKNOWN)
                        .build())
                .addAnnotation(subtypes.build());
        groups.forEach(root::addPermittedSubclass);
        root.addPermittedSubclass(UNKNOWN);
        emit(root.build());
        emit(TypeSpec.recordBuilder(UNKNOWN.simpleName())
                .addModifiers(Modifier.PUBLIC)
                .addJavadoc("A message of a kind unknown to this version; receivers ignore it.\n")
                .addSuperinterface(ROOT)
                .recordConstructor(MethodSpec.constructorBuilder().build())
                .build());
    }

    private TypeSpec record(ClassName name, JsonNode definition, ClassName group) {
        MethodSpec.Builder components = MethodSpec.constructorBuilder();
        CodeBlock.Builder defaults = CodeBlock.builder();
        CodeBlock.Builder javadoc = CodeBlock.builder()
                .add(
                        "$L\n\n<p>Immutable and thread safe.\n\n",
                        definition.get("description").asText());
        for (Iterator<Map.Entry<String, JsonNode>> it =
                        definition.get("properties").fields();
                it.hasNext(); ) {
            Map.Entry<String, JsonNode> property = it.next();
            TypeName type = typeOf(property.getValue());
            components.addParameter(
                    ParameterSpec.builder(type, property.getKey()).build());
            javadoc.add(
                    "@param $L $L\n",
                    property.getKey(),
                    property.getValue().path("description").asText());
            addDefault(defaults, property.getKey(), property.getValue());
        }
        TypeSpec.Builder type = TypeSpec.recordBuilder(name.simpleName())
                .addModifiers(Modifier.PUBLIC)
                .addJavadoc(javadoc.build())
                .recordConstructor(components.build());
        if (group != null) {
            type.addSuperinterface(group);
        }
        CodeBlock body = defaults.build();
        if (!body.isEmpty()) {
            type.addMethod(MethodSpec.compactConstructorBuilder()
                    .addModifiers(Modifier.PUBLIC)
                    .addCode(body)
                    .build());
        }
        return type.build();
    }

    private void addDefault(CodeBlock.Builder defaults, String name, JsonNode property) {
        if (property.has("$ref")) {
            return;
        }
        switch (property.get("type").asText()) {
            case "string" -> addStringDefault(defaults, name, property);
            case "array" -> defaults.addStatement("$1L = $1L == null ? $2T.of() : $2T.copyOf($1L)", name, List.class);
            case "object" -> defaults.addStatement("$1L = $1L == null ? $2T.of() : $2T.copyOf($1L)", name, Map.class);
            default -> {}
        }
    }

    private void addStringDefault(CodeBlock.Builder defaults, String name, JsonNode property) {
        if (property.has("contentEncoding")) {
            defaults.addStatement("$1L = $1L == null ? new byte[0] : $1L", name);
            return;
        }
        defaults.addStatement("$1L = $2T.requireNonNullElse($1L, \"\")", name, Objects.class);
    }

    private TypeName typeOf(JsonNode property) {
        if (property.has("$ref")) {
            String reference = property.get("$ref").asText();
            return ClassName.get(PACKAGE, reference.substring(reference.lastIndexOf('/') + 1));
        }
        return switch (property.get("type").asText()) {
            case "string" -> property.has("contentEncoding")
                    ? ArrayTypeName.of(TypeName.BYTE)
                    : ClassName.get(String.class);
            case "integer" -> TypeName.LONG;
            case "number" -> TypeName.DOUBLE;
            case "boolean" -> TypeName.BOOLEAN;
            case "array" -> ParameterizedTypeName.get(
                    ClassName.get(List.class), typeOf(property.get("items")).box());
            case "object" -> ParameterizedTypeName.get(
                    ClassName.get(Map.class),
                    ClassName.get(String.class),
                    typeOf(property.get("additionalProperties")).box());
            default -> throw new IllegalArgumentException("unknown type in schema: " + property);
        };
    }

    private void emit(TypeSpec type) {
        String source = JavaFile.builder(PACKAGE, type)
                .indent("    ")
                .skipJavaLangImports(true)
                .addFileComment("Generated from the message schemas; see docs/INTERFACE.md. Do not edit.")
                .build()
                .toString();
        files.put(type.name() + ".java", source);
    }

    private static JsonNode read(Path path) {
        try {
            return new ObjectMapper().readTree(path.toFile());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
