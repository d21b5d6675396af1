package org.rattanplank.core.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.rattanplank.schema.message.ViewMember;
import org.rattanplank.schema.message.ViewRecord;

/** Converts views to and from their form in messages and in the store. Stateless and thread safe. */
final class ViewRecordCodec {
    private static final ObjectMapper JSON =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private static final String KEY_PREFIX = "rattanplank/claim-view/";

    private ViewRecordCodec() {}

    static String storeKey(String dataCentre) {
        return KEY_PREFIX + dataCentre;
    }

    static ViewRecord toRecord(ClaimView view) {
        return new ViewRecord(
                view.dataCentre(),
                view.number(),
                view.completeFromMillis(),
                view.changeId(),
                view.members().stream()
                        .map(member -> new ViewMember(member.host(), member.incarnation()))
                        .toList());
    }

    static Option<ClaimView> fromRecord(ViewRecord record) {
        return Option.of(record)
                .map(view -> new ClaimView(
                        view.dataCentre(),
                        view.number(),
                        view.completeFromMillis(),
                        view.changeId(),
                        view.members().stream()
                                .map(member -> new ViewMemberId(member.host(), member.incarnation()))
                                .toList()));
    }

    static String toJson(ClaimView view) {
        try {
            return JSON.writeValueAsString(toRecord(view));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a view to JSON", e);
        }
    }

    static Try<ClaimView> fromJson(String json) {
        return Try.of(() -> JSON.readValue(json, ViewRecord.class))
                .flatMap(record -> fromRecord(record).toTry());
    }
}
