package org.rattanplank.gateway.peer;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import net.jqwik.api.Assume;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.rattanplank.gateway.MonotonicClock;
import org.rattanplank.gateway.target.AttemptFailure;
import org.rattanplank.gateway.target.AttemptListener;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

class PeerLinksTest {
    /**
     * Symptom: hosts of other regions are disconnected and connected again every two seconds, and callers are misdirected meanwhile.
     * Sequence: two hosts connect to each other at once; each uses the connection of its last handshake, sends its states
     * there, and receives nothing on it. Cause: the two hosts did not choose the same connection.
     */
    @Property
    void shouldChooseTheSameConnectionWhenTwoHostsOpenOneEach(@ForAll String first, @ForAll String second) {
        Assume.that(!first.equals(second));

        boolean openedByFirst = PeerLinks.isPreferred(first, second, true);
        boolean openedBySecond = PeerLinks.isPreferred(first, second, false);

        assertEquals(openedByFirst, PeerLinks.isPreferred(second, first, false));
        assertEquals(openedBySecond, PeerLinks.isPreferred(second, first, true));
        assertNotEquals(openedByFirst, openedBySecond);
    }

    /**
     * Symptom: a request that could be served elsewhere times out. Sequence: a link to another region closes just before a
     * request is sent over it. Cause: the call was registered after all calls of the link had been failed.
     */
    @Example
    void shouldFailAtOnceWhenARequestIsSentOverAClosedLink() {
        PeerLink link = new PeerLink(null, MonotonicClock.ofProcess(), true);
        List<AttemptFailure> failures = new ArrayList<>();

        link.sendRequest(number -> null, new AttemptListener() {
            @Override
            public void headersReceived(int status, HttpHeaders headers) {
                throw new AssertionError("unexpected response");
            }

            @Override
            public void contentReceived(ByteBuf bytes) {
                throw new AssertionError("unexpected response");
            }

            @Override
            public void completed() {
                throw new AssertionError("unexpected completion");
            }

            @Override
            public void failed(AttemptFailure failure, String reason) {
                failures.add(failure);
            }
        });

        assertEquals(List.of(AttemptFailure.NOT_SENT), failures);
    }
}
