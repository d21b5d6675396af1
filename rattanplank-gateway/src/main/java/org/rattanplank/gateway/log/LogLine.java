package org.rattanplank.gateway.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of the log: an event and its fields. Confined to whoever builds it until it is handed to the log.
 */
public final class LogLine {
    private final LogEvent event;
    private final Map<String, Object> fields = new LinkedHashMap<>();

    private LogLine(LogEvent event) {
        this.event = event;
    }

    /**
     * Begins a line.
     *
     * @param event what it tells
     * @return the line
     */
    public static LogLine of(LogEvent event) {
        return new LogLine(event);
    }

    /**
     * Adds a field.
     *
     * @param name its name, with its unit as suffix
     * @param value its value: a text, a number or a truth value
     * @return this line
     */
    public LogLine with(String name, Object value) {
        fields.put(name, value);
        return this;
    }

    LogEvent event() {
        return event;
    }

    Map<String, Object> fields() {
        return fields;
    }
}
