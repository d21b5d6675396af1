package org.rattanplank.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class JsonHttpClientTest {
    private static final String INCOMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{";

    /**
     * Symptom: a command hangs for minutes although its timeout is shorter. Sequence: a server sends the response headers
     * but never the complete body. Cause: the timeout of the HTTP client ends with the headers.
     */
    @Test
    @Timeout(30)
    void shouldFailWithinTimeoutWhenResponseBodyNeverArrives() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread serverThread = new Thread(() -> sendIncompleteResponse(server));
            serverThread.setDaemon(true);
            serverThread.start();

            Either<CallFailure, JsonResponse> response =
                    JsonHttpClient.of(Duration.ofMillis(500)).get("127.0.0.1:" + server.getLocalPort(), "/status");

            assertTrue(response.isLeft());
            assertFalse(response.getLeft().definitelyNotSent());
        }
    }

    private static void sendIncompleteResponse(ServerSocket server) {
        try {
            Socket socket = server.accept();
            socket.getOutputStream().write(INCOMPLETE_RESPONSE.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            Thread.sleep(60_000);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
