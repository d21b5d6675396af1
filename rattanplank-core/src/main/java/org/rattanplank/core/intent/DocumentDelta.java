package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.schema.message.ConfigurationPush;

/**
 * Converts documents to messages for other hosts and back; a delta from an earlier generation contains only the files
 * that differ, so that its size depends on the change and not on the complete configuration. Stateless and thread safe.
 */
final class DocumentDelta {
    private static final ObjectMapper JSON = new ObjectMapper();

    private DocumentDelta() {}

    static ConfigurationPush fullPush(Document document) {
        return new ConfigurationPush(
                document.generation(),
                document.digest(),
                document.toText(),
                document.changeId(),
                0,
                "",
                Map.of(),
                List.of());
    }

    static ConfigurationPush deltaPush(Document base, Document newer) {
        Map<String, String> changed = new TreeMap<>();
        newer.files().forEach((name, content) -> {
            if (!content.equals(base.files().get(name))) {
                changed.put(name, CanonicalJson.text(content));
            }
        });
        List<String> removed = new ArrayList<>();
        for (String name : base.files().keySet()) {
            if (!newer.files().containsKey(name)) {
                removed.add(name);
            }
        }
        return new ConfigurationPush(
                newer.generation(),
                newer.digest(),
                "",
                newer.changeId(),
                base.generation(),
                base.digest(),
                changed,
                removed);
    }

    /**
     * Returns the document of a message; none if its base is not the given document, or the result has a different
     * digest.
     */
    static Option<Document> read(ConfigurationPush push, Document base) {
        if (!push.document().isEmpty()) {
            return Document.parse(push.document()).toOption();
        }
        if (push.baseGeneration() != base.generation() || !push.baseDigest().equals(base.digest())) {
            return Option.none();
        }
        return Try.of(() -> applyDelta(push, base)).toOption().filter(document -> Document.digestOf(document.files())
                .equals(push.digest()));
    }

    private static Document applyDelta(ConfigurationPush push, Document base) throws java.io.IOException {
        SortedMap<String, JsonNode> files = new TreeMap<>(base.files());
        for (Map.Entry<String, String> file : push.changed().entrySet()) {
            files.put(file.getKey(), JSON.readTree(file.getValue()));
        }
        push.removed().forEach(files::remove);
        return new Document(push.generation(), push.digest(), push.changeId(), List.of(), files);
    }
}
