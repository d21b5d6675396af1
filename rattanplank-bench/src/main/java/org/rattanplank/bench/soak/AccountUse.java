package org.rattanplank.bench.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.rattanplank.standins.site.ExecutedRequest;
import org.rattanplank.standins.site.SiteConfigurations;
import org.rattanplank.standins.site.SiteSettings;

/**
 * Checks what replicas receive of client accounts: their names, never their keys, and no more than their allowance over all
 * hosts in any window.
 *
 * <p>Invariant: the units of the window are those of its requests. Thread safe; all state is guarded by this object.
 */
final class AccountUse {
    /** The tokens of the prompt of each draft and the most that it may generate. */
    static final int DRAFT_TOKENS = 150;

    private static final long WINDOW_MILLIS = SiteSettings.ALLOWANCE_WINDOW_SECONDS * 1_000L;

    /** The most that an account may use in a window, as the settings and the configuration say. */
    private static final double MAX_TOKENS = SiteConfigurations.LIMITED_TOKENS_PER_SECOND
                    * (SiteSettings.ALLOWANCE_WINDOW_SECONDS + 1)
                    * (1 + SiteSettings.ALLOWANCE_OVERAGE)
            + SiteSettings.ALLOWANCE_SLACK_TOKENS;

    private final Deque<long[]> window = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();
    private long windowTokens;
    private long mostTokens;

    /** Records that a replica executes a request. */
    synchronized void executed(ExecutedRequest request, long nowMillis) {
        if (request.hasKey()) {
            violations.add(request.id() + " reached a replica with its key");
        }
        String expected = SoakCaller.accountOf(request.id());
        if (!request.account().contains(expected)) {
            violations.add(request.id() + " of " + expected + " was executed for " + request.account());
        }
        if (expected.equals(SiteConfigurations.LIMITED_ACCOUNT)) {
            use(request.tokens().isDefined() ? DRAFT_TOKENS : SiteConfigurations.PLAIN_TOKENS, nowMillis);
        }
    }

    private void use(long tokens, long nowMillis) {
        window.add(new long[] {nowMillis, tokens});
        windowTokens += tokens;
        while (window.peek()[0] < nowMillis - WINDOW_MILLIS) {
            windowTokens -= window.poll()[1];
        }
        mostTokens = Math.max(mostTokens, windowTokens);
    }

    /** Returns what was wrong. */
    synchronized List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        if (mostTokens > MAX_TOKENS) {
            all.add("an account used " + mostTokens + " tokens in a window, of " + MAX_TOKENS);
        }
        return all;
    }
}
