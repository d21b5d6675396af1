// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages of a request forwarded from one entry host to another.
 */
public sealed interface RequestMessage extends PeerMessage permits ForwardRequest, ForwardHead, ForwardChunk, ForwardEnd, ForwardCancel {
}
