package org.rattanplank.core.session;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

import org.rattanplank.core.Action;
import org.rattanplank.core.Event;
import org.rattanplank.schema.message.ClaimMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * The text form of a session, which is compared with a golden file. Confined to one thread.
 *
 * <p>It omits periodic events: ticks without effect, heartbeats, links and store reads. Run with
 * {@code -Dgolden.write=true} to regenerate the files, and review the difference before committing it.
 */
final class Transcript {
    private static final Pattern REQUEST = Pattern.compile(
            "Request\\[id=([^,]*), account=([^,]*), service=([^,]*), .*?claimed=\\w+, fingerprint=Lazy\\(.*?\\)\\]");
    private static final Pattern ARRAY = Pattern.compile("\\[B@[0-9a-f]+");
    private static final int TAIL_LENGTH = 2_000;
    private static final Path GOLDEN_DIRECTORY = Path.of("src/test/resources/golden");

    private final StringBuilder text = new StringBuilder();

    /** Records an event with the resulting actions. */
    void record(long nowMillis, String host, Event event, List<Action> actions) {
        List<Action> shown = actions.stream().filter(Transcript::isShown).toList();
        if (shown.isEmpty() && !isShown(event)) {
            return;
        }
        text.append(nowMillis).append(' ').append(host).append(" < ").append(brief(event));
        text.append('\n');
        shown.forEach(action -> text.append("    > ").append(brief(action)).append('\n'));
    }

    /** Records an operation of the script on a host. */
    void recordNote(long nowMillis, String host, String note) {
        text.append(nowMillis)
                .append(' ')
                .append(host)
                .append(" * ")
                .append(note)
                .append('\n');
    }

    /** Returns the end of the transcript. */
    String tail() {
        return text.substring(Math.max(0, text.length() - TAIL_LENGTH));
    }

    /** Discards the transcript so far. */
    void clear() {
        text.setLength(0);
    }

    /** Asserts that the transcript equals its golden file. */
    void assertMatches(String name) {
        Path file = GOLDEN_DIRECTORY.resolve(name + ".txt");
        try {
            if (Boolean.getBoolean("golden.write")) {
                Files.createDirectories(GOLDEN_DIRECTORY);
                Files.writeString(file, text);
            }
            assertEquals(Files.readString(file), text.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }

    private static String brief(Object eventOrAction) {
        String requestsBrief = REQUEST.matcher(eventOrAction.toString()).replaceAll("$1 $3 of $2");
        return ARRAY.matcher(requestsBrief).replaceAll("...");
    }

    private static boolean isShown(Event event) {
        return event instanceof Event.CallerRequestReceived
                || event instanceof Event.PeerRequestReceived
                || event instanceof Event.RequesterLeft
                || event instanceof Event.AttemptEnded
                || event instanceof Event.StreamProgressed
                || event instanceof Event.DrainAsked
                || event instanceof Event.OrderAnswered;
    }

    private static boolean isShown(Action action) {
        return action instanceof Action.StartAttempt
                || action instanceof Action.CancelAttempt
                || action instanceof Action.Finish
                || action instanceof Action.OrderTarget
                || action instanceof Action.Stop
                || action instanceof Action.SendMessage send && send.message() instanceof ClaimMessage;
    }
}
