package org.rattanplank.standins.demo;

import java.io.IOException;

import com.beust.jcommander.JCommander;
import org.rattanplank.standins.caller.CallOutcome;
import org.rattanplank.standins.caller.CallRequest;
import org.rattanplank.standins.caller.CallResult;
import org.rattanplank.standins.caller.Caller;

/** Makes the demo's three calls through the host that the system names, and prints what came. */
public final class DemoCalls {
    private static final int DRAFT_PARTS = 12;
    private static final int PROMPT_WORDS = 200;
    private static final int SHOWN_CHARACTERS = 160;

    private final Caller caller;
    private final String host;
    private int answered;

    private DemoCalls(Caller caller, String host) {
        this.caller = caller;
        this.host = host;
    }

    /**
     * Makes the calls; exits with 1 unless all are answered and the repeated booking gets the first one's answer.
     *
     * @param args the settings
     * @throws IOException if no entry host can be asked
     */
    public static void main(String[] args) throws IOException {
        DemoOptions options = new DemoOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        Caller caller = Caller.of(options.token);
        String host = caller.entryHosts(options.ask).get(0);
        System.out.println("the system names " + host);
        DemoCalls calls = new DemoCalls(caller, host);
        calls.show("draft", CallRequest.draft("draft-1", options.model, prompt(), DRAFT_PARTS));
        CallRequest booking = CallRequest.booking("booking-1", options.plain, caller.newKey(host));
        CallResult first = calls.show("booking", booking);
        CallResult repeated = calls.show("repeated booking", booking);
        boolean same = first.body().equals(repeated.body());
        System.out.println(same ? "the repeated booking got the first one's answer" : "the two bookings differ");
        System.exit(same && calls.answered == 3 ? 0 : 1);
    }

    private CallResult show(String what, CallRequest call) {
        CallResult result = caller.send(host, call);
        if (result.outcome() == CallOutcome.ANSWERED && result.own()) {
            answered++;
        }
        System.out.println(what + ": " + result.outcome() + " status=" + result.status() + " path=" + result.path()
                + (result.reason().isEmpty() ? "" : " reason=" + result.reason()));
        System.out.println("  " + shorten(result.body()));
        return result;
    }

    private static String prompt() {
        return "line manual step ".repeat(PROMPT_WORDS);
    }

    private static String shorten(String body) {
        String line = body.replace("\n", " ");
        return line.length() <= SHOWN_CHARACTERS ? line : line.substring(0, SHOWN_CHARACTERS) + "...";
    }
}
