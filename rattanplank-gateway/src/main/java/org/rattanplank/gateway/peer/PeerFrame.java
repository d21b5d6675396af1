package org.rattanplank.gateway.peer;

import java.util.List;
import java.util.Objects;

import org.rattanplank.core.account.AccountDemand;
import org.rattanplank.core.account.AccountUsage;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.InFlightWork;
import org.rattanplank.core.gateway.RegionStreamStats;
import org.rattanplank.core.gateway.StreamStats;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreRevision;

/** A message between hosts. Immutable and thread safe. */
public sealed interface PeerFrame {
    /**
     * The first frame on a connection in both directions, which identifies its sender.
     *
     * @param host the sender
     */
    record Hello(GatewayHost host) implements PeerFrame {
        public Hello {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * The state report that a host sends periodically.
     *
     * @param sentAtMillis the time by the sender's clock
     * @param echoedMillis the receiver's clock in the last state received from it, zero if none was received
     * @param echoAgeMillis the time since that state was received
     * @param periodMillis the maximum time until the next state report
     * @param acceptsCallers whether callers should be directed to the sender
     * @param configurationVersion the version of the configuration that the sender applies
     * @param storeDigest a digest of the sender's local copy of the store
     * @param watchesStore whether the sender watches the store itself
     * @param storeHealthy whether the store responds to the sender
     * @param targetWork the sender's work at each target; sent to hosts of its own region only
     * @param regionLoads how soon the sender's region is expected to respond; sent to hosts of other regions only
     * @param newestRevision the revision of the newest change of the store that the sender has; zero if not reported
     * @param acceptMillis how long work may be sent to the sender: {@link #UNLIMITED_MILLIS} if it accepts callers, less if it is the
     *     last host of its region and is leaving, zero if it accepts no work
     * @param knownRevision the revision up to which the sender's local copy is complete; zero if it is empty,
     *     {@link #UNREPORTED} if not reported
     * @param linkBytesPerMilli the bandwidth of the sender's link in bytes per millisecond, zero if not reported
     * @param supportsLargePrefillNotices whether the sender accepts {@link LargePrefillNotice}; a host of an earlier version closes the link on
     *     receiving one
     * @param supportsCrashNotices whether the sender accepts {@link CrashNotice}; a host of an earlier version closes the
     *     link on receiving one
     * @param supportsPromptPartNotices whether the sender accepts {@link PromptPartCrashNotice}, likewise
     * @param supportsKeyLists whether the sender applies the present keys of {@link StoreItems}; a host of an earlier version
     *     ignores them
     * @param supportsStoreEras whether the sender orders revisions by the store's era; a host of an earlier version knows only
     *     the store's own numbers
     * @param accountUsage what the sender has used of client accounts' allowances; sent to hosts of its own region only
     * @param accountDemand what is asked of client accounts in the sender's region; sent to hosts of other regions only
     */
    record State(
            long sentAtMillis,
            long echoedMillis,
            long echoAgeMillis,
            long periodMillis,
            boolean acceptsCallers,
            long configurationVersion,
            long storeDigest,
            boolean watchesStore,
            boolean storeHealthy,
            List<TargetWork> targetWork,
            List<RegionLoad> regionLoads,
            long newestRevision,
            long acceptMillis,
            long knownRevision,
            long linkBytesPerMilli,
            boolean supportsLargePrefillNotices,
            boolean supportsCrashNotices,
            boolean supportsPromptPartNotices,
            boolean supportsKeyLists,
            boolean supportsStoreEras,
            List<AccountUsage> accountUsage,
            List<AccountDemand> accountDemand)
            implements PeerFrame {
        /** The {@link #acceptMillis} of a host that accepts callers. */
        public static final long UNLIMITED_MILLIS = Long.MAX_VALUE;

        /** The known revision of a host of an earlier version, which does not report it. */
        public static final long UNREPORTED = -1;

        /** The state of a host that has not reported one yet. */
        static final State NONE = new State(
                0,
                0,
                0,
                0,
                false,
                0,
                0,
                false,
                true,
                List.of(),
                List.of(),
                0,
                0,
                UNREPORTED,
                0,
                false,
                false,
                false,
                false,
                false,
                List.of(),
                List.of());

        /** The newest revision of a host whose local copy is empty; revisions of the store are above it. */
        public static final long EMPTY_REVISION = 1;

        public State {
            targetWork = List.copyOf(targetWork);
            regionLoads = List.copyOf(regionLoads);
            accountUsage = List.copyOf(accountUsage);
            accountDemand = List.copyOf(accountDemand);
        }

        /**
         * Returns the known revision as one of an era. A host of an earlier version tells no era; it is taken to be in the
         * receiver's.
         *
         * @param era the receiver's era
         * @return the revision
         */
        public long knownRevisionIn(long era) {
            return supportsStoreEras ? knownRevision : StoreRevision.of(era, knownRevision);
        }

        /**
         * Returns the newest revision as one of an era, likewise.
         *
         * @param era the receiver's era
         * @return the revision
         */
        public long newestRevisionIn(long era) {
            return supportsStoreEras ? newestRevision : StoreRevision.of(era, newestRevision);
        }

        /**
         * Returns whether the host accepts work although it is leaving.
         *
         * @return whether it is the last of its region
         */
        public boolean isLastOfRegion() {
            return acceptMillis > 0 && !acceptsCallers;
        }
    }

    /**
     * A host's work at one target.
     *
     * @param target the text of the target's incarnation; the receiver ignores one that it doesn't know to be alive
     * @param work the work
     * @param streamStats the inter-token latency of the host's streams there
     */
    record TargetWork(String target, InFlightWork work, StreamStats streamStats) {}

    /**
     * A large prefill notice: a host's work at one target, sent ahead of its next state report after a large change.
     *
     * @param work the work
     */
    record LargePrefillNotice(TargetWork work) implements PeerFrame {}

    /**
     * Evidence of crashes against requests that the receiver may not have.
     *
     * @param evidence the evidence
     */
    record CrashNotice(List<CrashEvidence> evidence) implements PeerFrame {
        public CrashNotice {
            evidence = List.copyOf(evidence);
        }
    }

    /**
     * Evidence of crashes against prompt parts that the receiver may not have.
     *
     * @param evidence the evidence
     */
    record PromptPartCrashNotice(List<CrashEvidence> evidence) implements PeerFrame {
        public PromptPartCrashNotice {
            evidence = List.copyOf(evidence);
        }
    }

    /**
     * How soon a region is expected to respond for a service.
     *
     * @param service the service
     * @param urgency the urgency of the work that the estimate is for
     * @param expectedMillis the expected latency of its best target
     * @param perTokenMillis the latency that each further token adds, averaged over its targets
     * @param streams the state of the service's streams there
     */
    record RegionLoad(
            String service, Urgency urgency, double expectedMillis, double perTokenMillis, RegionStreamStats streams) {
        /**
         * Creates the load of a region that reports no stream state.
         *
         * @param service the service
         * @param urgency the urgency of the work that the estimate is for
         * @param expectedMillis the expected latency of its best target
         * @param perTokenMillis the latency that each further token adds, averaged over its targets
         */
        public RegionLoad(String service, Urgency urgency, double expectedMillis, double perTokenMillis) {
            this(service, urgency, expectedMillis, perTokenMillis, RegionStreamStats.NONE);
        }
    }

    /**
     * Contents of the store, for a host that doesn't watch it.
     *
     * @param contents the contents
     * @param removalGraceMillis how much longer removed entries may be registered again after an outage of the store
     */
    record StoreItems(StoreContents contents, long removalGraceMillis) implements PeerFrame {
        public StoreItems {
            Objects.requireNonNull(contents, "contents");
        }
    }

    /**
     * A fragment of a frame that is too large to be sent at once. Other frames may be sent between two fragments.
     *
     * @param last whether it is the last fragment of the frame
     * @param bytes the bytes of the fragment
     */
    record Fragment(boolean last, byte[] bytes) implements PeerFrame {}

    /**
     * A request to be served in the receiver's region.
     *
     * @param call the number of the call on this connection
     * @param configurationVersion the version of the configuration by which the sender selected the service
     * @param service the service
     * @param requestId the caller's identifier of the request
     * @param method the method
     * @param uri the path and query
     * @param authority the authority that the caller addressed
     * @param headers alternating names and values
     * @param body the body
     * @param remainingMillis the time left until its deadline
     * @param echoedMillis the receiver's clock in the last state received from it, zero if none was received
     * @param echoAgeMillis the time since the sender received that state
     * @param lastEventId the event after which a stream is to be resumed, or empty
     * @param urgency the urgency
     * @param atMostOnce whether the request must run at most once
     * @param excludedTargets the texts of the incarnations of targets that must not receive the request
     */
    record CallRequest(
            long call,
            long configurationVersion,
            String service,
            String requestId,
            String method,
            String uri,
            String authority,
            List<String> headers,
            byte[] body,
            long remainingMillis,
            long echoedMillis,
            long echoAgeMillis,
            String lastEventId,
            Urgency urgency,
            boolean atMostOnce,
            List<String> excludedTargets)
            implements PeerFrame {
        public CallRequest {
            headers = List.copyOf(headers);
            excludedTargets = List.copyOf(excludedTargets);
        }
    }

    /**
     * A stream to be continued in the receiver's region, as the host that served it there is lost. A host of an earlier
     * version closes the link on receiving one, so it never takes the stream for a new request.
     *
     * @param request the request, with the last event that its caller has
     * @param backup the text of the incarnation of the target that holds the backup of the stream
     */
    record FailoverRequest(CallRequest request, String backup) implements PeerFrame {}

    /**
     * The headers of a response.
     *
     * @param call the call
     * @param status the status
     * @param headers alternating names and values
     * @param target the target that responds
     * @param backup the target that holds the backup of the stream, empty if there is none
     */
    record ResponseHead(long call, int status, List<String> headers, String target, String backup)
            implements PeerFrame {
        public ResponseHead {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A chunk of a response's body.
     *
     * @param call the call
     * @param bytes the chunk
     */
    record ResponseChunk(long call, byte[] bytes) implements PeerFrame {}

    /**
     * The end of a complete response.
     *
     * @param call the call
     */
    record ResponseEnd(long call) implements PeerFrame {}

    /**
     * The end of a call without a complete response.
     *
     * @param call the call
     * @param failure the name of the {@link org.rattanplank.gateway.target.AttemptFailure}
     * @param reason what happened
     * @param target the target that received the request, or empty
     */
    record CallFailed(long call, String failure, String reason, String target) implements PeerFrame {}

    /**
     * Cancels a call on behalf of the requester.
     *
     * @param call the call
     */
    record CallCancel(long call) implements PeerFrame {}

    /**
     * The last frame of a host that is leaving: it has responded to all calls that it accepted, and accepts no more.
     *
     * @param lastCall the number of the last call that it accepted; later ones did not run and never will
     */
    record Leaving(long lastCall) implements PeerFrame {}
}
