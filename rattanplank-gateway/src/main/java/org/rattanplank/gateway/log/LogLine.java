package org.rattanplank.gateway.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A log line: an event and its fields. Confined to the thread that builds it until it is passed to the log.
 */
public final class LogLine {
    private final LogEvent event;
    private final Map<String, Object> fields = new LinkedHashMap<>();

    private LogLine(LogEvent event) {
        this.event = event;
    }

    /**
     * Creates a line without fields.
     *
     * @param event the event that it reports
     * @return the line
     */
    public static LogLine of(LogEvent event) {
        return new LogLine(event);
    }

    /**
     * Adds a field.
     *
     * @param name the name, with the unit as suffix
     * @param value the value: a text, a number or a boolean
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
