// Generated from the message schemas; see docs/INTERFACE.md. Do not edit.
package org.rattanplank.schema.message;

/**
 * Messages that keep a call which may not be repeated from running twice.
 */
public sealed interface ClaimMessage extends PeerMessage permits ClaimOpen, ClaimCopy, ClaimCopied, ClaimGrant, ClaimSettle, ClaimSettled, ClaimAsk, ViewJoin, ViewLeave, ViewSync, ViewSynced, ViewPropose, ViewConsent, ViewWithdraw, ViewInstall, ViewInstalled, ViewAsk {
}
