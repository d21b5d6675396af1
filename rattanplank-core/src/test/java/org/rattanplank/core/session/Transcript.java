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
 * A session as text, to be compared with a golden file. Confined to one thread.
 *
 * <p>It leaves out what every second repeats: ticks without effect, heartbeats, links, and reads of the store. Run with
 * {@code -Dgolden.write=true} to write the files anew, then read the difference before committing it.
 */
final class Transcript {
    private static final Pattern REQUEST =
            Pattern.compile("Request\\[id=([^,]*), account=([^,]*), service=([^,]*), .*?claimed=\\w+\\]");
    private static final Pattern ARRAY = Pattern.compile("\\[B@[0-9a-f]+");
    private static final int TAIL_LENGTH = 2_000;
    private static final Path GOLDEN_DIRECTORY = Path.of("src/test/resources/golden");

    private final StringBuilder text = new StringBuilder();

    /** Writes down an event with what it led to. */
    void record(long nowMillis, String host, Event event, List<Action> actions) {
        List<Action> shown = actions.stream().filter(Transcript::isShown).toList();
        if (shown.isEmpty() && !isShown(event)) {
            return;
        }
        text.append(nowMillis).append(' ').append(host).append(" < ").append(brief(event));
        text.append('\n');
        shown.forEach(action -> text.append("    > ").append(brief(action)).append('\n'));
    }

    /** Writes down something that the script did to a host. */
    void recordNote(long nowMillis, String host, String note) {
        text.append(nowMillis)
                .append(' ')
                .append(host)
                .append(" * ")
                .append(note)
                .append('\n');
    }

    /** The newest part of what was written down. */
    String tail() {
        return text.substring(Math.max(0, text.length() - TAIL_LENGTH));
    }

    /** Forgets what was written down so far. */
    void clear() {
        text.setLength(0);
    }

    /** Compares the session with its golden file. */
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
        return event instanceof Event.CallerAsked
                || event instanceof Event.PeerAsked
                || event instanceof Event.AskerLeft
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
