// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages about a request that one entry host forwards to another.
 */
public sealed interface RequestMessage extends PeerMessage permits ForwardRequest, ForwardHead, ForwardChunk, ForwardEnd, ForwardCancel {
}
