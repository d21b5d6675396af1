package org.rattanplank.gateway;

import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.Lazy;
import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rattanplank.core.quarantine.Fingerprint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestReaderTest {
    private final RequestReader reader = new RequestReader(TestGateway.NAMES);

    private static HttpRequest head() {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a/%2F?x=1&y=%00");
        head.headers().set("Host", "desk.example").set("Request-Id", "q1").set("X-Own", "kept");
        return head;
    }

    private GatewayRequest read(HttpRequest head) {
        return reader.read(head, "body".getBytes(StandardCharsets.UTF_8)).get();
    }

    @Test
    void shouldKeepPathQueryAndOtherHeadersWhenReading() {
        GatewayRequest request = read(head());

        assertEquals("/a/%2F?x=1&y=%00", request.uri());
        assertEquals("/a/%2F", request.path());
        assertEquals("kept", request.headers().get("X-Own"));
        assertEquals("q1", request.id());
    }

    /** Guards against callers that select their target or urgency by sending headers that only this system may set. */
    @Test
    void shouldRemoveReservedHeadersWhenACallerSendsThem() {
        HttpRequest head = head();
        head.headers().set("expected", "t9").set("URGENCY", "0");

        GatewayRequest request = read(head);

        assertFalse(request.headers().contains("Expected"));
        assertFalse(request.headers().contains("Urgency"));
    }

    /**
     * Guards against requests that reach a target without their identifier: a caller names the identifier in the
     * Connection header, whose listed headers are removed.
     */
    @Test
    void shouldKeepTheRequestIdWhenTheConnectionHeaderNamesIt() {
        HttpRequest head = head();
        head.headers().set("Connection", "close, Request-Id, X-Own");

        GatewayRequest request = read(head);

        assertEquals("q1", request.id());
        assertFalse(request.headers().contains("X-Own"));
        assertFalse(request.headers().contains("Connection"));
    }

    /** Guards against a host whose memory fills with the bodies of requests that have ended. */
    @Test
    @Timeout(30)
    void shouldNotKeepALargeBodyWhenTheFingerprintIsKept() {
        byte[] body = new byte[1_000_000];
        Fingerprint expected = Fingerprint.of("desk.example", "POST", "/a/%2F?x=1&y=%00", body);
        GatewayRequest request = reader.read(head(), body).get();
        WeakReference<byte[]> reference = new WeakReference<>(body);
        Lazy<Fingerprint> fingerprint = request.fingerprint();
        body = null;
        request = null;

        while (reference.get() != null) {
            System.gc();
        }

        assertNotEquals(expected, fingerprint.get());
    }

    @Test
    void shouldRecognizeALargeRequestWhenItIsStillKnown() {
        byte[] body = new byte[1_000_000];
        GatewayRequest request = reader.read(head(), body).get();

        assertEquals(
                Fingerprint.of("desk.example", "POST", "/a/%2F?x=1&y=%00", body),
                request.fingerprint().get());
    }

    @Test
    void shouldReturnNoneWhenARequestHasNoHostOrTwo() {
        HttpRequest none = head();
        none.headers().remove("Host");
        HttpRequest two = head();
        two.headers().add("Host", "other.example");

        assertTrue(reader.read(none, new byte[0]).isEmpty());
        assertTrue(reader.read(two, new byte[0]).isEmpty());
    }

    @Test
    void shouldReadTokenCountsWhenAGenerationStatesThem() {
        HttpRequest head = head();
        head.headers()
                .set("Tokens", "1460,80")
                .set("Parts", "5c:800,91:410,e4:250")
                .set("Hint", "20");

        GatewayRequest request = read(head);

        assertEquals(1_460, request.work().promptTokens());
        assertEquals(20, request.work().outputTokens());
        assertEquals(1_210, request.work().sharedTokens());
        assertEquals(270, request.work().exclusiveTokens());
    }

    /**
     * Guards against rejecting streams as too long where callers give no estimate: the maximum must not be taken for
     * the expected number of tokens.
     */
    @Test
    void shouldExpectTheDefaultOutputWhenTheCallerGivesOnlyAMaximum() {
        HttpRequest head = head();
        head.headers().set("Tokens", "1460,4000");

        assertEquals(256, read(head).work().outputTokens());
    }

    @Test
    void shouldAcceptARequestWhenItsNumbersAreMalformed() {
        HttpRequest head = head();
        head.headers().set("Tokens", "many,x").set("Parts", ",:,a").set("Time-Left", "soon");

        GatewayRequest request = read(head);

        assertEquals(0, request.work().promptTokens());
        assertEquals(Option.none(), request.timeoutMillis());
    }
}
