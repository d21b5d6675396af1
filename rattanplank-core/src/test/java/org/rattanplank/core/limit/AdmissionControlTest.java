package org.rattanplank.core.limit;

import java.util.List;
import java.util.SplittableRandom;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionControlTest {
    private static final Backlog NONE = new Backlog(0, 1_000, 1_000);

    private final AdmissionControl admission = AdmissionControl.of(new SplittableRandom(1));

    @Nested
    class Admit {
        @Test
        void shouldShedLowestClassFirstWhenBacklogGrows() {
            int background = firstRejectedDepth(WorkClass.BACKGROUND);
            int draft = firstRejectedDepth(WorkClass.DRAFT);
            int interactive = firstRejectedDepth(WorkClass.INTERACTIVE);
            assertTrue(background < draft && draft < interactive, background + " " + draft + " " + interactive);
        }

        @Test
        void shouldReturnTimeUntilBacklogShrinksWhenItIsTooLong() {
            Backlog long20 = new Backlog(20_000, 1_000, 1_000);
            Rejection rejection = admission
                    .admit(request("floor", WorkClass.INTERACTIVE, 11_000), 1, long20, 0)
                    .get();
            assertTrue(rejection.retryAfterMillis() >= 10_000 && rejection.retryAfterMillis() <= 15_000);
        }

        @Test
        void shouldReturnNoRetryTimeWhenDeadlineIsShorterThanRun() {
            Rejection rejection = admission
                    .admit(request("floor", WorkClass.INTERACTIVE, 500), 1, NONE, 0)
                    .get();
            assertEquals(0, rejection.retryAfterMillis());
        }

        /**
         * Guards against one heavy account starving all others: it sends half of all requests, the backlog grows, and
         * rejections that ignore the usage of accounts affect all of them equally.
         */
        @Test
        void shouldRejectOnlyHeavyAccountWhenOverloaded() {
            Backlog overload = new Backlog(2_000, 1_000, 1_000);
            int[] rejected = new int[2];
            for (int i = 0; i < 6_000; i++) {
                String account = i % 2 == 0 ? "heavy" : "light-" + i % 20;
                Option<Rejection> rejection =
                        admission.admit(request(account, WorkClass.INTERACTIVE, 90_000), 1, overload, i * 10L);
                rejected[i % 2] += rejection.isDefined() ? 1 : 0;
            }
            assertTrue(rejected[0] > 300, "heavy rejected: " + rejected[0]);
            assertEquals(0, rejected[1], "light rejected");
        }

        /**
         * Guards against rejecting a burst of the only account as over its share: the level is computed while the
         * account is idle, then the account sends its usual load within the same epoch, in which the low level still
         * applies.
         */
        @Test
        void shouldNotRejectAccountWhenItIsTheOnlyOne() {
            Backlog overload = new Backlog(2_000, 1_000, 1_000);
            for (int i = 0; i < 200; i++) {
                long nowMillis = i < 3 ? i * 5_000L : 10_100;
                assertTrue(admission
                        .admit(request("only", WorkClass.INTERACTIVE, 90_000), 1, overload, nowMillis)
                        .isEmpty());
            }
        }

        @Test
        void shouldRejectNoRequestWhenThereIsNoBacklog() {
            for (int i = 0; i < 3_000; i++) {
                assertTrue(admission
                        .admit(request(i % 2 == 0 ? "heavy" : "l" + i % 20, WorkClass.DRAFT, 90_000), 1, NONE, i)
                        .isEmpty());
            }
        }
    }

    @Nested
    class Shares {
        @Test
        void shouldTrackBoundedAccountsWhenAllAreNew() {
            FairShare shares = FairShare.empty();
            for (int i = 0; i < 2 * FairShare.MAX_ACCOUNTS; i++) {
                shares.recordDemand("a" + i, 1, 1_000, 1);
            }
            assertEquals(FairShare.MAX_ACCOUNTS, shares.accountCount());
        }

        @Test
        void shouldEvictAccountsWhenTheyAreIdle() {
            FairShare shares = FairShare.empty();
            shares.recordDemand("a", 1, 1_000, 1);
            shares.recordDemand("b", 1, 1_000, 900_000);
            assertEquals(1, shares.accountCount());
        }
    }

    @Property(tries = 100, seed = "42")
    void shouldGrantBoundedRetriesWhenRequestedInAnyOrder(@ForAll List<Boolean> events) {
        RetryBudget budget = RetryBudget.full();
        int requests = 0;
        int retries = 0;
        for (boolean request : events) {
            if (request) {
                requests++;
                budget.recordRequest();
            } else {
                retries += budget.tryAcquire(1) ? 1 : 0;
            }
            assertTrue(retries <= RetryBudget.MAX_BURST_RETRIES + RetryBudget.RETRIES_PER_REQUEST * requests + 1e-9);
        }
    }

    private static int firstRejectedDepth(WorkClass workClass) {
        for (int depth = 0; depth < 100; depth++) {
            AdmissionControl fresh = AdmissionControl.of(new SplittableRandom(1));
            Backlog backlog = new Backlog(depth * 1_000, 1_000, 1_000);
            if (fresh.admit(request("floor", workClass, 30_000), 1, backlog, 0).isDefined()) {
                return depth;
            }
        }
        return 100;
    }

    private static Request request(String account, WorkClass workClass, long deadlineMillis) {
        return new Request(
                "r",
                account,
                "plank-serve",
                workClass,
                true,
                Option.none(),
                "suva",
                Option.none(),
                deadlineMillis,
                0,
                0,
                List.of(),
                false,
                List.of(),
                false,
                Fingerprint.ofIdentifier("r"));
    }
}
