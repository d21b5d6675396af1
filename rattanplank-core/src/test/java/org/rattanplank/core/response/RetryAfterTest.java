package org.rattanplank.core.response;

import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.List;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RetryAfterTest {
    private static final String DATE = "Fri, 04 Dec 2026 10:00:00 GMT";

    private static Option<Long> readDate(String text) {
        return Try.of(() -> ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME)
                        .toInstant()
                        .toEpochMilli())
                .toOption();
    }

    private static Option<Long> read(String... values) {
        return RetryAfter.readMillis(List.of(values), DATE, RetryAfterTest::readDate);
    }

    @ParameterizedTest
    @CsvSource({"3,3000", "0.25,250", "' 1.5 ',1500", "0,0", "999999999999,86400000"})
    void shouldReadSecondsWhenTheValueIsANumber(String value, long millis) {
        assertEquals(Option.some(millis), read(value));
    }

    /** Guards against a target that is left out for long, or a parser that fails, because of a value that is no time. */
    @ParameterizedTest
    @ValueSource(
            strings = {"", "-1", "NaN", "Infinity", "1e9", "0x10", "3d", "soon", "1.", ".5", "3, 4", "Fri, 04 Dec"})
    void shouldReadNothingWhenTheValueIsNoTime(String value) {
        assertEquals(Option.none(), read(value));
    }

    @Test
    void shouldCountFromTheDateOfTheResponseWhenTheValueIsADate() {
        assertEquals(Option.some(30_000L), read("Fri, 04 Dec 2026 10:00:30 GMT"));
        assertEquals(Option.some(0L), read("Fri, 04 Dec 2026 09:59:00 GMT"));
        assertEquals(
                Option.none(),
                RetryAfter.readMillis(List.of("Fri, 04 Dec 2026 10:00:30 GMT"), null, RetryAfterTest::readDate));
    }

    @Test
    void shouldReadTheLongestTimeWhenThereAreSeveral() {
        assertEquals(Option.some(4_000L), read("2", "4", "soon", "3"));
        assertEquals(Option.none(), read());
    }
}
