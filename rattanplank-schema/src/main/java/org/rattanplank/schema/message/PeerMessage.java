// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A message between two entry hosts.
 */
@JsonTypeInfo(
        use = JsonTypeInfo.Id.NAME,
        property = "kind",
        defaultImpl = UnknownMessage.class
)
@JsonSubTypes({
        @JsonSubTypes.Type(value = ClaimOpen.class, name = "ClaimOpen"),
        @JsonSubTypes.Type(value = ClaimCopy.class, name = "ClaimCopy"),
        @JsonSubTypes.Type(value = ClaimCopied.class, name = "ClaimCopied"),
        @JsonSubTypes.Type(value = ClaimGrant.class, name = "ClaimGrant"),
        @JsonSubTypes.Type(value = ClaimSettle.class, name = "ClaimSettle"),
        @JsonSubTypes.Type(value = ClaimSettled.class, name = "ClaimSettled"),
        @JsonSubTypes.Type(value = ClaimAsk.class, name = "ClaimAsk"),
        @JsonSubTypes.Type(value = ViewJoin.class, name = "ViewJoin"),
        @JsonSubTypes.Type(value = ViewLeave.class, name = "ViewLeave"),
        @JsonSubTypes.Type(value = ViewSync.class, name = "ViewSync"),
        @JsonSubTypes.Type(value = ViewSynced.class, name = "ViewSynced"),
        @JsonSubTypes.Type(value = ViewPropose.class, name = "ViewPropose"),
        @JsonSubTypes.Type(value = ViewConsent.class, name = "ViewConsent"),
        @JsonSubTypes.Type(value = ViewWithdraw.class, name = "ViewWithdraw"),
        @JsonSubTypes.Type(value = ViewInstall.class, name = "ViewInstall"),
        @JsonSubTypes.Type(value = ViewInstalled.class, name = "ViewInstalled"),
        @JsonSubTypes.Type(value = ViewAsk.class, name = "ViewAsk"),
        @JsonSubTypes.Type(value = ConfigurationPull.class, name = "ConfigurationPull"),
        @JsonSubTypes.Type(value = ConfigurationPush.class, name = "ConfigurationPush"),
        @JsonSubTypes.Type(value = Hello.class, name = "Hello"),
        @JsonSubTypes.Type(value = Ping.class, name = "Ping"),
        @JsonSubTypes.Type(value = Pong.class, name = "Pong"),
        @JsonSubTypes.Type(value = Heartbeat.class, name = "Heartbeat"),
        @JsonSubTypes.Type(value = CentreBeat.class, name = "CentreBeat"),
        @JsonSubTypes.Type(value = LeavingNews.class, name = "LeavingNews"),
        @JsonSubTypes.Type(value = CrashNews.class, name = "CrashNews"),
        @JsonSubTypes.Type(value = RegionSummary.class, name = "RegionSummary"),
        @JsonSubTypes.Type(value = ForwardRequest.class, name = "ForwardRequest"),
        @JsonSubTypes.Type(value = ForwardHead.class, name = "ForwardHead"),
        @JsonSubTypes.Type(value = ForwardChunk.class, name = "ForwardChunk"),
        @JsonSubTypes.Type(value = ForwardEnd.class, name = "ForwardEnd"),
        @JsonSubTypes.Type(value = ForwardCancel.class, name = "ForwardCancel")
})
public sealed interface PeerMessage permits ClaimMessage, ControlMessage, MemberMessage, RequestMessage, UnknownMessage {
}
