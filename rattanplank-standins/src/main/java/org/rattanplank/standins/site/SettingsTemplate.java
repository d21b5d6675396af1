package org.rattanplank.standins.site;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.standins.http.Json;

/**
 * Fills in a settings template as the deployment platform does. A placeholder takes a value as text, or as JSON with the
 * suffix {@code |json}; objects and arrays are always JSON. Stateless and thread safe.
 */
public final class SettingsTemplate {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z0-9_.]+)(\\|json)?}}");

    private SettingsTemplate() {}

    /**
     * Replaces the placeholders of a template by values.
     *
     * @param template the template
     * @param values the values, an object that placeholders address by dotted paths
     * @return the settings file's contents
     */
    public static String fill(String template, JsonNode values) {
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder filled = new StringBuilder();
        while (matcher.find()) {
            JsonNode value = lookup(values, matcher.group(1));
            boolean json = matcher.group(2) != null || value.isContainerNode();
            matcher.appendReplacement(filled, Matcher.quoteReplacement(json ? Json.write(value) : value.asText()));
        }
        return matcher.appendTail(filled).toString();
    }

    private static JsonNode lookup(JsonNode values, String path) {
        JsonNode value = values;
        for (String name : path.split("\\.")) {
            value = value.isArray() ? value.path(Integer.parseInt(name)) : value.path(name);
        }
        return value;
    }
}
