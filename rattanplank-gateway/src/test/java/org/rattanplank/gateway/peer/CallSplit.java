package org.rattanplank.gateway.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Where the bytes of a call are split of which only the first part has arrived. Immutable and thread safe. */
public enum CallSplit {
    /** Inside the length of the frame. */
    INSIDE_LENGTH {
        @Override
        int partBytes(byte[] wireBytes) {
            return Integer.BYTES / 2;
        }
    },

    /** Between the length of the frame and its body. */
    AFTER_LENGTH {
        @Override
        int partBytes(byte[] wireBytes) {
            return Integer.BYTES;
        }
    },

    /** Inside the body of the frame. */
    INSIDE_BODY {
        @Override
        int partBytes(byte[] wireBytes) {
            return wireBytes.length / 2;
        }
    },

    /** Between two fragments of the frame. */
    BETWEEN_FRAGMENTS {
        @Override
        byte[] wireBytes(byte[] frame) {
            int half = frame.length / 2;
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(withLength(fragment(false, Arrays.copyOf(frame, half))));
            bytes.writeBytes(withLength(fragment(true, Arrays.copyOfRange(frame, half, frame.length))));
            return bytes.toByteArray();
        }

        @Override
        int partBytes(byte[] wireBytes) {
            return Integer.BYTES + ByteBuffer.wrap(wireBytes).getInt();
        }
    };

    /** Returns the bytes that are sent for a frame. */
    byte[] wireBytes(byte[] frame) {
        return withLength(frame);
    }

    /** Returns the size of the first part. */
    abstract int partBytes(byte[] wireBytes);

    private static byte[] fragment(boolean last, byte[] bytes) {
        return PeerFrameCodec.encode(new PeerFrame.Fragment(last, bytes));
    }

    private static byte[] withLength(byte[] frame) {
        return ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
    }
}
