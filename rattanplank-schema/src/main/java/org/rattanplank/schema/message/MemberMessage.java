// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages about the membership of hosts and their state.
 */
public sealed interface MemberMessage extends PeerMessage permits Hello, Ping, Pong, Heartbeat, CentreBeat, LeavingNews, CrashNews, RegionSummary {
}
