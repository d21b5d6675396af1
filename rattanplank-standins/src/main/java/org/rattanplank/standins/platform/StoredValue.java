package org.rattanplank.standins.platform;

import java.util.Objects;

/**
 * A key of the store with its value and revisions. Immutable and thread safe.
 *
 * @param key the key
 * @param value the value, empty for a deleted key
 * @param createRevision the revision at which the key was created
 * @param modRevision the revision at which the value was written or deleted
 * @param version the number of writes since the key was created, zero for a deleted key
 * @param leaseId the lease whose end deletes the key, zero for none
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
