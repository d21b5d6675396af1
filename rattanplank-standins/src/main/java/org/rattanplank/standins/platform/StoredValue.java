package org.rattanplank.standins.platform;

import java.util.Objects;

/**
 * A key of the store with its value. Immutable and thread safe.
 *
 * @param key the key
 * @param value the value, empty for a deleted key
 * @param createRevision the revision at which the key came to be
 * @param modRevision the revision at which the value was written or deleted
 * @param version how often the key was written since it came to be, zero for a deleted key
 * @param leaseId the lease with which the key ends, zero for none
 */
record StoredValue(String key, String value, long createRevision, long modRevision, long version, long leaseId) {
    StoredValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    static StoredValue absent(String key) {
        return new StoredValue(key, "", 0, 0, 0, 0);
    }

    static StoredValue deleted(String key, long revision) {
        return new StoredValue(key, "", 0, revision, 0, 0);
    }

    boolean isDeleted() {
        return version == 0;
    }

    StoredValue withValue(String newValue, long revision, long newLeaseId) {
        long created = isDeleted() ? revision : createRevision;
        return new StoredValue(key, newValue, created, revision, version + 1, newLeaseId);
    }
}
