package org.rattanplank.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ChunkMergerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int CHUNKS = 2_000;

    /** Guards against work for each chunk of an answer, whose number its sender decides. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 64})
    void shouldPassOnAFewMessagesWhenARowOfChunksIsReadTogether(int chunkBytes) {
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(), new ChunkMerger());

        channel.writeInbound(bytes(HEAD + chunk.repeat(CHUNKS) + "0\r\n\r\n"));

        assertInstanceOf(HttpResponse.class, channel.readInbound());
        int messages = 0;
        int bodyBytes = 0;
        boolean ended = false;
        for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
            HttpContent content = (HttpContent) next;
            messages++;
            bodyBytes += content.content().readableBytes();
            ended = content instanceof LastHttpContent;
            content.release();
        }
        assertTrue(ended);
        assertEquals(CHUNKS * chunkBytes, bodyBytes);
        assertTrue(messages <= ChunkMerger.MAX_SINGLE_CHUNKS + 2, "messages: " + messages);
    }

    /** Guards against bytes of an answer that stay in the host until more are received. */
    @ParameterizedTest
    @ValueSource(ints = {1, ChunkMerger.MAX_SINGLE_CHUNKS, ChunkMerger.MAX_SINGLE_CHUNKS + 5})
    void shouldPassOnAllBytesInOrderWhenTheTurnEnds(int chunks) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(), new ChunkMerger());
        StringBuilder sent = new StringBuilder(HEAD);
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < chunks; i++) {
            body.append((char) ('a' + i % 26));
            sent.append("1\r\n").append(body.charAt(i)).append("\r\n");
        }

        channel.writeInbound(bytes(sent.toString()));

        channel.readInbound();
        StringBuilder received = new StringBuilder();
        for (HttpContent next = channel.readInbound(); next != null; next = channel.readInbound()) {
            received.append(next.content().toString(StandardCharsets.US_ASCII));
            next.release();
        }
        assertEquals(body.toString(), received.toString());
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
