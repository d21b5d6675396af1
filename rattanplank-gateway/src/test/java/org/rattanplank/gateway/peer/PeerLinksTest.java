package org.rattanplank.gateway.peer;

import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

class PeerLinksTest {
    /**
     * Symptom: hosts of other regions come and go every two seconds, and callers are sent astray meanwhile. Sequence: two
     * hosts open a connection to each other at once; each uses the one that it greeted last, sends its states there, and
     * hears nothing on the one that it uses. Cause: the two did not choose the same connection.
     */
    @Property
    void shouldChooseTheSameConnectionWhenTwoHostsOpenOneEach(@ForAll String one, @ForAll String other) {
        Assume.that(!one.equals(other));

        boolean openedByOne = PeerLinks.isPreferred(one, other, true);
        boolean openedByOther = PeerLinks.isPreferred(one, other, false);

        assertEquals(openedByOne, PeerLinks.isPreferred(other, one, false));
        assertEquals(openedByOther, PeerLinks.isPreferred(other, one, true));
        assertNotEquals(openedByOne, openedByOther);
    }
}
