package org.rattanplank.standins.site;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.standins.http.EventLoop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LateAnswersTest {
    private static final long SEED = 7;
    private static final int DRAWS = 1_000;
    private static final int OFTEN = 100;
    private static final int MAX_CONNECTIONS = 20;
    private static final String HEAD_END = "\r\n\r\n";
    private static final SentAnswer EARLIER =
            new SentAnswer("q0", "d/1", 200, "application/json", "{\"by\":\"d\",\"for\":\"q0\"}");

    private static List<Option<String>> draws() {
        LateAnswers answers = LateAnswers.of(SEED);
        List<Option<String>> draws = new ArrayList<>();
        for (int i = 0; i < DRAWS; i++) {
            draws.add(answers.draw(EARLIER));
        }
        return draws;
    }

    /** Guards against second answers that are all whole, which hides heads that two answers make up. */
    @Test
    void shouldStopInHeadsAndBodiesWhenAnswersAreDrawn() {
        List<String> seconds = draws().stream().flatMap(Option::toJavaStream).toList();

        long cutInHead =
                seconds.stream().filter(text -> !text.contains(HEAD_END)).count();
        long whole = seconds.stream()
                .filter(text -> text.contains(HEAD_END) && text.contains("\"q0\"}"))
                .count();
        assertTrue(cutInHead > OFTEN, "in the head: " + cutInHead);
        assertTrue(whole > OFTEN, "whole: " + whole);
        assertTrue(seconds.size() - cutInHead - whole > OFTEN, "in the body: " + (seconds.size() - cutInHead - whole));
        assertTrue(DRAWS - seconds.size() > OFTEN, "none: " + (DRAWS - seconds.size()));
    }

    /** Guards against a failing seed that can't be played again. */
    @Test
    void shouldDrawTheSameWhenTheSeedIsTheSame() {
        assertEquals(draws(), draws());
    }

    /** Guards against runs that nearly all succeed or fail, so that a status taken from the other answer isn't seen. */
    @Test
    void shouldDrawFailuresAndSuccessesWhenRunsEnd() {
        LateAnswers answers = LateAnswers.of(SEED);
        int failures = 0;
        for (int i = 0; i < DRAWS; i++) {
            failures += answers.fails() ? 1 : 0;
        }
        assertTrue(failures > OFTEN && failures < DRAWS - OFTEN, "failures: " + failures);
    }

    /** Guards against a replica that sends the second answer too early, on another connection, or in place of its own. */
    @Test
    void shouldSendASecondAnswerBeforeTheOwnOneWhenTheNextRequestArrives() throws Exception {
        Queue<SentAnswer> sent = new ConcurrentLinkedQueue<>();
        LateAnswers draws = LateAnswers.of(SEED);
        int connectionsWithSecond = 0;
        try (EventLoop loop = EventLoop.of()) {
            InetSocketAddress address = SiteReplica.serve(loop, "d", false, new SiteReplica.Listener() {
                @Override
                public void executed(ExecutedRequest request) {}

                @Override
                public void answered(SentAnswer answer) {
                    sent.add(answer);
                }

                @Override
                public Option<LateAnswers> lateAnswers() {
                    return Option.some(draws);
                }
            });
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    String first = call(socket, "a" + i);
                    assertTrue(first.startsWith("HTTP/1.1 " + sent.remove().status()), first);
                    String second = call(socket, "b" + i);
                    SentAnswer own = sent.remove();
                    int ownStart = second.lastIndexOf("HTTP/1.1 " + own.status());
                    assertTrue(second.substring(ownStart).contains(own.stamp()), second);
                    connectionsWithSecond += ownStart > 0 ? 1 : 0;
                }
            }
        }
        assertTrue(
                connectionsWithSecond > 0 && connectionsWithSecond < MAX_CONNECTIONS,
                "connections with a second answer: " + connectionsWithSecond);
    }

    /** Sends a request and reads until the body of its own answer has ended. */
    private static String call(Socket socket, String id) throws Exception {
        String request = "POST /bookings/1 HTTP/1.1\r\nHost: d\r\n"
                + PlatformHeaders.names().requestId() + ": " + id + "\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        StringBuilder received = new StringBuilder();
        while (received.indexOf("\"" + id + "\"}") < 0) {
            int octet = in.read();
            assertTrue(octet >= 0, received::toString);
            received.append((char) octet);
        }
        return received.toString();
    }
}
