package org.rattanplank.core.response;

import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

import io.vavr.control.Option;

/** Reads and writes the time after which a server wants to be asked again. Stateless and thread safe. */
public final class RetryAfter {
    /** Longer times are cut: an operator would have to restart hosts to end a pause that a target has named by mistake. */
    public static final long MAX_MILLIS = 24 * 60 * 60 * 1_000L;

    private static final Pattern SECONDS = Pattern.compile("\\d{1,12}(\\.\\d{1,9})?");
    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    /**
     * Reads the values of a {@code Retry-After} header: seconds, which may have a fraction, or an HTTP date. A date counts from
     * the response's own {@code Date}, as the clocks of hosts may differ.
     *
     * @param values the values
     * @param responseDate the value of the response's {@code Date} header, or null if it has none
     * @param readDate reads an HTTP date as milliseconds of any era, none if it is no date
     * @return the longest valid time in milliseconds, or none
     */
    public static Option<Long> readMillis(
            List<String> values, String responseDate, Function<String, Option<Long>> readDate) {
        Option<String> date = Option.of(responseDate);
        return io.vavr.collection.List.ofAll(values)
                .flatMap(value -> readMillis(value.strip(), date, readDate))
                .max();
    }

    /**
     * Writes the value of a {@code Retry-After} header.
     *
     * @param millis the time in milliseconds
     * @return the time in seconds, with a fraction
     */
    public static String text(long millis) {
        return Double.toString(millis / MILLIS_PER_SECOND);
    }

    private static Option<Long> readMillis(
            String value, Option<String> responseDate, Function<String, Option<Long>> readDate) {
        Option<Long> millis = SECONDS.matcher(value).matches()
                ? Option.some(Math.round(Double.parseDouble(value) * MILLIS_PER_SECOND))
                : readDate.apply(value)
                        .flatMap(end -> responseDate.flatMap(readDate).map(start -> end - start));
        return millis.map(each -> Math.max(0, Math.min(MAX_MILLIS, each)));
    }
}
