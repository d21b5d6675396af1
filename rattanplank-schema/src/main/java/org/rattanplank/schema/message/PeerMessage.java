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
        @JsonSubTypes.Type(value = ConfigurationPull.class, name = "ConfigurationPull"),
        @JsonSubTypes.Type(value = ConfigurationPush.class, name = "ConfigurationPush"),
        @JsonSubTypes.Type(value = Hello.class, name = "Hello"),
        @JsonSubTypes.Type(value = Ping.class, name = "Ping"),
        @JsonSubTypes.Type(value = Pong.class, name = "Pong"),
        @JsonSubTypes.Type(value = Heartbeat.class, name = "Heartbeat"),
        @JsonSubTypes.Type(value = LeavingNews.class, name = "LeavingNews"),
        @JsonSubTypes.Type(value = RegionSummary.class, name = "RegionSummary"),
        @JsonSubTypes.Type(value = ForwardRequest.class, name = "ForwardRequest"),
        @JsonSubTypes.Type(value = ForwardHead.class, name = "ForwardHead"),
        @JsonSubTypes.Type(value = ForwardChunk.class, name = "ForwardChunk"),
        @JsonSubTypes.Type(value = ForwardEnd.class, name = "ForwardEnd"),
        @JsonSubTypes.Type(value = ForwardCancel.class, name = "ForwardCancel")
})
public sealed interface PeerMessage permits ClaimMessage, ControlMessage, MemberMessage, RequestMessage, UnknownMessage {
}
