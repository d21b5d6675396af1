package org.rattanplank.standins.demo;

import java.io.IOException;

import com.beust.jcommander.JCommander;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;

/** Sends the demo's three calls through the entry host that the system names first, and prints the results. */
public final class DemoCalls {
    private static final int DRAFT_MAX_TOKENS = 12;
    private static final int PROMPT_REPETITIONS = 200;
    private static final int MAX_PRINTED_CHARACTERS = 160;

    private final Caller caller;
    private final String host;
    private int answered;

    private DemoCalls(Caller caller, String host) {
        this.caller = caller;
        this.host = host;
    }

    /**
     * Sends the calls; exits with 1 unless all are answered and the retried booking gets the response to the first one.
     *
     * @param args the command-line options
     * @throws IOException if the entry host doesn't respond
     */
    public static void main(String[] args) throws IOException {
        DemoOptions options = new DemoOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        Caller caller = Caller.of(options.token);
        String host = caller.entryHosts(options.entryHost).get(0);
        System.out.println("the system names " + host);
        DemoCalls calls = new DemoCalls(caller, host);
        calls.sendAndPrint("draft", CallRequest.draft("draft-1", options.modelService, prompt(), DRAFT_MAX_TOKENS));
        CallRequest booking = CallRequest.booking("booking-1", options.plainService, caller.newIdempotencyKey(host));
        CallResult first = calls.sendAndPrint("booking", booking);
        CallResult retried = calls.sendAndPrint("repeated booking", booking);
        boolean isReplay = first.body().equals(retried.body());
        System.out.println(isReplay ? "the repeated booking got the first one's answer" : "the two bookings differ");
        System.exit(isReplay && calls.answered == 3 ? 0 : 1);
    }

    private CallResult sendAndPrint(String label, CallRequest call) {
        CallResult result = caller.send(host, call);
        if (result.outcome() == CallOutcome.ANSWERED && result.matchesRequest()) {
            answered++;
        }
        System.out.println(label + ": " + result.outcome() + " status=" + result.status() + " path=" + result.path()
                + (result.reason().isEmpty() ? "" : " reason=" + result.reason()));
        System.out.println("  " + truncate(result.body()));
        return result;
    }

    private static String prompt() {
        return "line manual step ".repeat(PROMPT_REPETITIONS);
    }

    private static String truncate(String body) {
        String line = body.replace("\n", " ");
        return line.length() <= MAX_PRINTED_CHARACTERS ? line : line.substring(0, MAX_PRINTED_CHARACTERS) + "...";
    }
}
