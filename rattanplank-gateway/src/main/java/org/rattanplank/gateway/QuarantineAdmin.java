package org.rattanplank.gateway;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.rattanplank.core.quarantine.QuarantineEntry;
import org.rattanplank.gateway.pass.RequestQuarantine;

/** Lists quarantined requests and prompt parts for operators and lifts a quarantine. Stateless; confined to the event loop. */
final class QuarantineAdmin {
    /** The path of the list; the path of one request has its fingerprint appended. */
    static final String PATH = "/quarantine";

    private static final String LIFTING_METHOD = "DELETE";
    private static final JsonFactory JSON = new JsonFactory();

    private QuarantineAdmin() {}

    static AdminResponse handle(AdminRequest request, RequestQuarantine quarantine) {
        if (!request.method().equals(LIFTING_METHOD)) {
            return request.uri().equals(PATH)
                    ? AdminResponse.json(toJson(quarantine.quarantined()))
                    : AdminResponse.notFound();
        }
        String fingerprint = request.uri().substring(PATH.length()).replaceFirst("^/", "");
        return quarantine.lift(fingerprint) ? AdminResponse.text("lifted\n") : AdminResponse.notFound();
    }

    private static String toJson(List<QuarantineEntry> entries) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartArray();
            for (QuarantineEntry each : entries) {
                json.writeStartObject();
                json.writeStringField("fingerprint", each.fingerprint().text());
                json.writeArrayFieldStart("promptParts");
                for (String part : each.promptParts()) {
                    json.writeString(part);
                }
                json.writeEndArray();
                json.writeArrayFieldStart("crashes");
                for (QuarantineEntry.Crash crash : each.crashes()) {
                    json.writeStartObject();
                    json.writeStringField("target", crash.target());
                    json.writeStringField("source", crash.source());
                    json.writeNumberField("ageMillis", crash.ageMillis());
                    json.writeEndObject();
                }
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("unexpected I/O error while writing to memory", e);
        }
        return text.toString();
    }
}
