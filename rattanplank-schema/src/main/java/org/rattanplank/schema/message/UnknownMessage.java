// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * A message of a kind that this version does not know; receivers pass over it.
 */
public record UnknownMessage() implements PeerMessage {
}
