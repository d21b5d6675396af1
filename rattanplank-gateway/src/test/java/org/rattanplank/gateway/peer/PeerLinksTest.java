package org.rattanplank.gateway.peer;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import net.jqwik.api.Assume;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.rattanplank.gateway.SteadyClock;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;

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

    /**
     * Symptom: a request that could be served elsewhere ends with a time-out. Sequence: a link to another region ends just
     * before a request is sent over it. Cause: the call was kept after all calls of the link had been ended.
     */
    @Example
    void shouldFailAtOnceWhenARequestIsSentOverALinkThatHasEnded() {
        PeerLink link = new PeerLink(null, SteadyClock.ofProcess(), true);
        List<AttemptFailure> failures = new ArrayList<>();

        link.ask(number -> null, new AttemptListener() {
            @Override
            public void head(int status, HttpHeaders headers) {
                throw new AssertionError("an answer");
            }

            @Override
            public void content(ByteBuf bytes) {
                throw new AssertionError("an answer");
            }

            @Override
            public void ended() {
                throw new AssertionError("an end");
            }

            @Override
            public void failed(AttemptFailure failure, String reason) {
                failures.add(failure);
            }
        });

        assertEquals(List.of(AttemptFailure.NOT_SENT), failures);
    }
}
