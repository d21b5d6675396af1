// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages that distribute the configuration between hosts.
 */
public sealed interface ControlMessage extends PeerMessage permits ConfigurationPull, ConfigurationPush {
}
