package org.rattanplank.core.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;

/**
 * The prompt parts that targets have answered last: a part that crashes targets crashes each that begins an answer on it.
 *
 * <p>Invariant: at most {@link #MAX_PARTS} parts, of which the one that was answered first is dropped. Confined to its
 * owner's thread.
 */
public final class SoundPromptParts {
    /**
     * How long a part that was answered is not suspected of crashes. A part that many requests share is in flight at several
     * targets when they crash, and is answered more often than this; one that begins to crash targets is suspected after it.
     */
    public static final long SOUND_MILLIS = 5_000;

    private static final int MAX_PARTS = 1_024;

    private final Map<String, Long> answeredAtMillis = new LinkedHashMap<>();

    private SoundPromptParts() {}

    /**
     * Creates an empty memory.
     *
     * @return the memory
     */
    public static SoundPromptParts empty() {
        return new SoundPromptParts();
    }

    /**
     * Records that a target has answered a request.
     *
     * @param parts the identifiers of its parts
     * @param nowMillis the time
     */
    public void answered(List<String> parts, long nowMillis) {
        for (String part : parts) {
            answeredAtMillis.remove(part);
            answeredAtMillis.put(part, nowMillis);
        }
        while (answeredAtMillis.size() > MAX_PARTS) {
            answeredAtMillis.remove(answeredAtMillis.keySet().iterator().next());
        }
    }

    /**
     * Returns the time until which a part is not suspected.
     *
     * @param part the identifier of the part
     * @return the time in milliseconds, or none if it was not answered of late
     */
    public Option<Long> soundUntilMillis(String part) {
        return Option.of(answeredAtMillis.get(part)).map(answered -> answered + SOUND_MILLIS);
    }
}
