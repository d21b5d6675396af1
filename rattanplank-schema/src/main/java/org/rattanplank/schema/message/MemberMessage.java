// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages about which hosts are there and what they know.
 */
public sealed interface MemberMessage extends PeerMessage permits Hello, Ping, Pong, Heartbeat, CentreBeat, LeavingNews, RegionSummary {
}
