package org.rattanplank.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** The property of a stored value that a transaction's condition compares. */
enum CompareTarget {
    VERSION("version") {
        @Override
        long actualNumber(StoredValue value) {
            return value.version();
        }
    },
    CREATE("create_revision") {
        @Override
        long actualNumber(StoredValue value) {
            return value.createRevision();
        }
    },
    MOD("mod_revision") {
        @Override
        long actualNumber(StoredValue value) {
            return value.modRevision();
        }
    },
    VALUE("value") {
        @Override
        long actualNumber(StoredValue value) {
            return 0;
        }

        @Override
        int compare(StoredValue value, JsonNode condition) {
            return value.value().compareTo(StoreJson.decodeText(condition, "value"));
        }
    };

    private final String field;

    CompareTarget(String field) {
        this.field = field;
    }

    abstract long actualNumber(StoredValue value);

    int compare(StoredValue value, JsonNode condition) {
        String camelCase = field.replace("_revision", "Revision");
        return Long.compare(
                actualNumber(value),
                StoreJson.eitherField(condition, field, camelCase).asLong());
    }

    static boolean holds(JsonNode condition, StoredValue value) {
        CompareTarget target = valueOf(condition.path("target").asText(VERSION.name()));
        int order = target.compare(value, condition);
        return switch (condition.path("result").asText("EQUAL")) {
            case "GREATER" -> order > 0;
            case "LESS" -> order < 0;
            case "NOT_EQUAL" -> order != 0;
            default -> order == 0;
        };
    }
}
