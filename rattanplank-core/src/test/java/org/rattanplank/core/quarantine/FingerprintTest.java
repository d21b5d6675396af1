package org.rattanplank.core.quarantine;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the recognition of requests that are sent again. */
class FingerprintTest {
    private static final byte[] BODY = {1, 2, 3};

    @Property(tries = 100)
    boolean shouldBeEqualWhenTheRequestIsTheSame(
            @ForAll String caller, @ForAll String method, @ForAll String uri, @ForAll byte[] body) {
        return Fingerprint.of(caller, method, uri, body)
                .equals(Fingerprint.of(new String(caller), method, uri, body.clone()));
    }

    @Property(tries = 100)
    boolean shouldParseItsText(@ForAll long high, @ForAll long low) {
        Fingerprint fingerprint = new Fingerprint(high, low);
        return Fingerprint.parse(fingerprint.text()).equals(fingerprint);
    }

    @Test
    void shouldRejectATextWhenItIsNoFingerprint() {
        for (String text : List.of("", "0".repeat(31), "0".repeat(33), "+" + "0".repeat(31), "A".repeat(32))) {
            assertThrows(IllegalArgumentException.class, () -> Fingerprint.parse(text));
        }
    }

    @Test
    void shouldDifferWhenOnePartDiffers() {
        Fingerprint one = Fingerprint.of("desk", "POST", "/a", BODY);

        assertNotEquals(one, Fingerprint.of("desk2", "POST", "/a", BODY));
        assertNotEquals(one, Fingerprint.of("desk", "PUT", "/a", BODY));
        assertNotEquals(one, Fingerprint.of("desk", "POST", "/b", BODY));
        assertNotEquals(one, Fingerprint.of("desk", "POST", "/a", new byte[] {1, 2}));
    }

    /** Guards against a caller that passes for another one by moving characters from its name into the path. */
    @Test
    void shouldDifferWhenCharactersMoveBetweenParts() {
        assertNotEquals(Fingerprint.of("desk", "POST", "/a", BODY), Fingerprint.of("des", "kPOST", "/a", BODY));
        assertNotEquals(
                Fingerprint.of("desk", "POST", "/a1", new byte[0]),
                Fingerprint.of("desk", "POST", "/a", new byte[] {'1'}));
    }

    @Test
    void shouldHaveATextOf32DigitsWhenItStartsWithZeros() {
        assertEquals("000000000000000a0000000000000000", new Fingerprint(10, 0).text());
        assertTrue(Fingerprint.of("desk", "POST", "/a", BODY).text().matches("[0-9a-f]{32}"));
    }
}
