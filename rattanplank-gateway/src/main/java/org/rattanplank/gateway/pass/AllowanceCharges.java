package org.rattanplank.gateway.pass;

import java.util.function.LongSupplier;

import io.vavr.control.Option;
import org.rattanplank.core.account.AllowanceControl;
import org.rattanplank.core.account.AllowanceRefusal;
import org.rattanplank.gateway.GatewayRequest;

/**
 * Charges each send of a request to the allowance of its client account.
 *
 * <p>Invariant: a request without a client account is neither charged nor refused. Confined to the event loop.
 */
final class AllowanceCharges {
    private final AllowanceControl allowances;
    private final LongSupplier clockMillis;
    private final boolean enabled;

    AllowanceCharges(AllowanceControl allowances, LongSupplier clockMillis, boolean enabled) {
        this.allowances = allowances;
        this.clockMillis = clockMillis;
        this.enabled = enabled;
    }

    /** Charges the first send of a request, or returns why it is refused. */
    Option<AllowanceRefusal> tryCharge(GatewayRequest request) {
        return account(request)
                .flatMap(account -> allowances.tryCharge(account, request.statedTokens(), clockMillis.getAsLong()));
    }

    /** Charges a further send, which isn't refused: what the request was charged before may have been used. */
    void chargeAgain(GatewayRequest request) {
        account(request)
                .forEach(account -> allowances.chargeAgain(account, request.statedTokens(), clockMillis.getAsLong()));
    }

    /** Gives back what a send was charged that has not run. */
    void refund(GatewayRequest request) {
        account(request)
                .forEach(account -> allowances.refund(account, request.statedTokens(), clockMillis.getAsLong()));
    }

    private Option<String> account(GatewayRequest request) {
        return enabled ? request.account() : Option.none();
    }
}
