/** The same with streams that may not be resumed. Their engines keep backups, but the replicas have no room for any. */
final class SilentWithoutCopy extends SilentReplica {
    @Override
    boolean isResumable() {
        return false;
    }
}
