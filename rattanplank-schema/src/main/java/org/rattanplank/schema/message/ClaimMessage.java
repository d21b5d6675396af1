// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages that prevent a non-repeatable call from being executed twice.
 */
public sealed interface ClaimMessage extends PeerMessage permits ClaimOpen, ClaimCopy, ClaimCopied, ClaimGrant, ClaimSettle, ClaimSettled, ClaimAsk, ViewJoin, ViewLeave, ViewSync, ViewSynced, ViewPropose, ViewConsent, ViewWithdraw, ViewInstall, ViewInstalled, ViewAsk {
}
