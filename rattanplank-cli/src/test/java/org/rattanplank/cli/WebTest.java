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

class WebTest {
    private static final String STARTED_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{";

    /**
     * Symptom: a command, and a test's wait with a bound of a minute, hung for minutes. Sequence: the head of an answer
     * came, its body never did. Cause: the client's timeout ends with the head.
     */
    @Test
    @Timeout(30)
    void shouldFailWithinTheBoundWhenTheBodyNeverComes() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread answering = new Thread(() -> startAnAnswer(server));
            answering.setDaemon(true);
            answering.start();

            Either<WebFailure, WebAnswer> answer =
                    Web.of(Duration.ofMillis(500)).get("127.0.0.1:" + server.getLocalPort(), "/status");

            assertTrue(answer.isLeft());
            assertFalse(answer.getLeft().surelyNotSent());
        }
    }

    private static void startAnAnswer(ServerSocket server) {
        try {
            Socket socket = server.accept();
            socket.getOutputStream().write(STARTED_ANSWER.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            Thread.sleep(60_000);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
