// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * A message of a kind unknown to this version; receivers ignore it.
 */
public record UnknownMessage() implements PeerMessage {
}
