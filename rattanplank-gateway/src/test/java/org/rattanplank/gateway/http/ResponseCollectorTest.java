package org.rattanplank.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledHeapByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ResponseCollectorTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1\r\nx\r\n";
    private static final String END = "0\r\n\r\n";
    private static final int CHUNKS = 200_000;
    private static final int READ_CHUNKS = 1_000;

    private static EmbeddedChannel channel(int maxBodyBytes) {
        return new EmbeddedChannel(new HttpResponseDecoder(), new ResponseCollector(maxBodyBytes));
    }

    private static void write(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Guards against a response in small chunks that are all copied again and again. */
    @Test
    void shouldAllocateAFewTimesItsSizeWhenAResponseComesInSmallChunks() {
        EmbeddedChannel channel = channel(CHUNKS);
        CountingAllocator allocator = new CountingAllocator();
        channel.config().setAllocator(allocator);
        write(channel, HEAD);
        for (int i = 0; i < CHUNKS; i += READ_CHUNKS) {
            write(channel, CHUNK.repeat(READ_CHUNKS));
        }
        write(channel, END);

        FullHttpResponse response = channel.readInbound();
        assertEquals(CHUNKS, response.content().readableBytes());
        long allocated = allocator.allocatedBytes;
        assertTrue(allocated <= 4L * CHUNKS, "allocated: " + allocated);
    }

    @Test
    void shouldReturnEachResponseWhenSeveralFollowOnOneConnection() {
        EmbeddedChannel channel = channel(100);

        write(channel, HEAD + CHUNK + CHUNK + END + "HTTP/1.1 404 X\r\nContent-Length: 3\r\n\r\nabc");

        FullHttpResponse first = channel.readInbound();
        FullHttpResponse second = channel.readInbound();
        assertEquals("xx", first.content().toString(StandardCharsets.US_ASCII));
        assertEquals(404, second.status().code());
        assertEquals("abc", second.content().toString(StandardCharsets.US_ASCII));
    }

    /** Guards against a process whose memory is taken by a response without end. */
    @Test
    void shouldCloseTheConnectionWhenAResponseIsTooLarge() {
        EmbeddedChannel channel = channel(1_000);

        write(channel, HEAD + CHUNK.repeat(1_001));

        assertFalse(channel.isOpen());
        assertNull(channel.readInbound());
    }

    /** Counts the bytes that are allocated. */
    private static final class CountingAllocator extends AbstractByteBufAllocator {
        private long allocatedBytes;

        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity) {
                @Override
                protected byte[] allocateArray(int length) {
                    allocatedBytes += length;
                    return super.allocateArray(length);
                }
            };
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            return newHeapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        public boolean isDirectBufferPooled() {
            return false;
        }
    }
}
