package org.rattanplank.core.gateway;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.rattanplank.core.gateway.TargetProcess.EndedResponse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetProcessTest {
    private static final long END_MILLIS = 10_000;
    private static final long LONG_BEFORE_MILLIS = END_MILLIS - TargetProcess.TERMINATION_MILLIS;

    private final TargetProcess process = new TargetProcess();

    private List<Long> send(int count) {
        List<Long> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(process.requestSent());
        }
        return requests;
    }

    private EndedResponse end(long request) {
        process.requestInterrupted(request, END_MILLIS);
        return process.responseEnded(END_MILLIS);
    }

    private boolean isTermination(EndedResponse ended, ConnectResult port) {
        return process.terminationEvidence(ended, port, false).isTermination();
    }

    @Test
    void shouldFindNoTerminationWhenThePortStillAccepts() {
        EndedResponse ended = end(process.requestSent());

        assertFalse(isTermination(ended, ConnectResult.CONNECTED));
    }

    @Test
    void shouldFindATerminationWhenThePortHasBeenClosedWithTheConnection() {
        EndedResponse ended = end(process.requestSent());

        assertTrue(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against whole responses that count as cut though other ones go on at their target. */
    @Test
    void shouldFindNoTerminationWhenAnotherRequestGoesOn() {
        EndedResponse ended = end(send(2).get(0));

        assertFalse(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against a request that was sent since the end and passes for one that goes on. */
    @Test
    void shouldFindATerminationWhenOnlyALaterRequestIsInProgress() {
        EndedResponse ended = end(process.requestSent());
        process.requestSent();

        assertTrue(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against the last whole response of a target that counts as cut as its port had been closed long before. */
    @Test
    void shouldFindNoTerminationWhenThePortHadBeenClosedLongBefore() {
        long request = process.requestSent();
        process.portAnswered(ConnectResult.REFUSED, LONG_BEFORE_MILLIS);
        process.portAnswered(ConnectResult.REFUSED, END_MILLIS - 1);
        EndedResponse ended = end(request);

        assertFalse(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against a cut response that passes for whole as its target's port was closed a moment before. */
    @Test
    void shouldFindATerminationWhenThePortHadBeenClosedOnlyJustBefore() {
        long request = process.requestSent();
        process.portAnswered(ConnectResult.REFUSED, LONG_BEFORE_MILLIS + 1);
        EndedResponse ended = end(request);

        assertTrue(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against a sole whole response that counts as cut as its leaving target has closed its port just before. */
    @Test
    void shouldFindNoTerminationWhenAnIdleConnectionIsStillOpen() {
        EndedResponse ended = end(process.requestSent());

        assertFalse(
                process.terminationEvidence(ended, ConnectResult.REFUSED, true).isTermination());
    }

    /** Guards against a target that refused a connection once, and whose crash passes for an orderly end from then on. */
    @Test
    void shouldFindATerminationWhenThePortHasAcceptedSinceItWasClosed() {
        long request = process.requestSent();
        process.portAnswered(ConnectResult.REFUSED, 0);
        process.portAnswered(ConnectResult.CONNECTED, 1);
        EndedResponse ended = end(request);

        assertTrue(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against cut responses that pass for whole because their target, which was killed, had closed its port. */
    @Test
    void shouldFindATerminationWhenAllRequestsAreInterruptedTogether() {
        List<Long> requests = send(2);
        process.portAnswered(ConnectResult.REFUSED, LONG_BEFORE_MILLIS);
        EndedResponse first = end(requests.get(0));
        EndedResponse second = end(requests.get(1));

        assertTrue(isTermination(first, ConnectResult.REFUSED));
        assertTrue(isTermination(second, ConnectResult.REFUSED));
    }

    @Test
    void shouldFindNoTerminationWhenRequestsEndOneAfterTheOther() {
        List<Long> requests = send(2);
        process.portAnswered(ConnectResult.REFUSED, LONG_BEFORE_MILLIS);
        EndedResponse first = end(requests.get(0));
        process.requestInterrupted(requests.get(1), END_MILLIS + TargetProcess.TERMINATION_MILLIS / 2);
        EndedResponse second = process.responseEnded(END_MILLIS + TargetProcess.TERMINATION_MILLIS / 2);

        assertFalse(isTermination(first, ConnectResult.REFUSED));
        assertFalse(isTermination(second, ConnectResult.REFUSED));
    }

    /** Guards against a response that counts as cut because others of its target are completed in the same moment. */
    @Test
    void shouldFindNoTerminationWhenOtherRequestsAreCompletedTogetherWithIt() {
        List<Long> requests = send(2);
        process.portAnswered(ConnectResult.REFUSED, LONG_BEFORE_MILLIS);
        process.requestEnded(requests.get(0));
        EndedResponse ended = end(requests.get(1));

        assertFalse(isTermination(ended, ConnectResult.REFUSED));
    }

    /** Guards against whole responses that count as cut because a busy host has missed the answer to its check. */
    @Test
    void shouldFindNoTerminationWhenThePortDoesNotAnswer() {
        List<Long> requests = send(2);
        EndedResponse first = end(requests.get(0));
        EndedResponse second = end(requests.get(1));

        assertFalse(isTermination(first, ConnectResult.TIMED_OUT));
        assertFalse(isTermination(second, ConnectResult.TIMED_OUT));
    }

    /** Guards against checks of the port that cost connections though no response needs them. */
    @Test
    void shouldCheckThePortOnlyWhenAResponseWithoutALengthIsInProgress() {
        long request = process.requestSent();
        assertFalse(process.isPortCheckDue(false, 0));
        assertFalse(process.isPortCheckDue(true, 0));

        process.closeDelimited(request);
        assertTrue(process.isPortCheckDue(false, 0));
        process.portCheckStarted(0);
        assertFalse(process.isPortCheckDue(false, 999));
        assertTrue(process.isPortCheckDue(false, 1_000));
        assertFalse(process.isPortCheckDue(true, 199));
        assertTrue(process.isPortCheckDue(true, 200));

        process.requestEnded(request);
        assertFalse(process.isPortCheckDue(true, 5_000));
    }

    /** Guards against plain responses of a leaving target whose head comes with their end, after its port was closed. */
    @Test
    void shouldCheckThePortOfALeavingTargetWhenItHasSentResponsesWithoutALength() {
        long earlier = process.requestSent();
        process.closeDelimited(earlier);
        process.requestInterrupted(earlier, 0);
        process.requestSent();

        assertFalse(process.isPortCheckDue(false, 0));
        assertTrue(process.isPortCheckDue(true, 0));
    }

    /** Guards against an idle connection that is closed by this host before a response is decided on. */
    @Test
    void shouldBeBusyWhenAResponseMayNotBeDecidedOnYet() {
        end(process.requestSent());

        assertTrue(process.isBusy(END_MILLIS + TargetProcess.TERMINATION_MILLIS));
        assertFalse(process.isBusy(2 * END_MILLIS));
    }

    @Test
    void shouldCountARequestOnceWhenItEndsTwice() {
        long request = process.requestSent();
        process.closeDelimited(request);
        process.closeDelimited(request);
        process.requestEnded(request);
        process.requestEnded(request);

        assertFalse(process.isBusy(0));
        assertEquals(
                0,
                process.terminationEvidence(process.responseEnded(0), ConnectResult.REFUSED, false)
                        .requestsInProgress());
        process.closeDelimited(process.requestSent());
        assertTrue(process.isPortCheckDue(false, 0));
    }
}
