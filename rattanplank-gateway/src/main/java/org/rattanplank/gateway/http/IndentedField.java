package org.rattanplank.gateway.http;

import io.netty.buffer.ByteBuf;

/**
 * Recognizes a line of a head that begins with white space and reads as a field. Such a line continues the value of the
 * line before, so a recipient can't tell whether its sender meant a field. Stateless and thread safe.
 */
final class IndentedField {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private IndentedField() {}

    /**
     * Returns whether one of several lines is an indented field.
     *
     * @param bytes contains the lines
     * @param begin the index at which the first line begins
     * @param end the index behind the last line
     * @return whether a line has white space, then nothing but a token and further white space before a colon
     */
    static boolean isWithin(ByteBuf bytes, int begin, int end) {
        int lineBegin = begin;
        while (lineBegin < end) {
            if (isAt(bytes, lineBegin, end)) {
                return true;
            }
            int lineFeed = bytes.indexOf(lineBegin, end, (byte) '\n');
            if (lineFeed < 0) {
                return false;
            }
            lineBegin = lineFeed + 1;
        }
        return false;
    }

    private static boolean isAt(ByteBuf bytes, int lineBegin, int end) {
        int nameBegin = skipWhiteSpace(bytes, lineBegin, end);
        if (nameBegin == lineBegin) {
            return false;
        }
        int nameEnd = nameBegin;
        while (nameEnd < end && isTokenCharacter(bytes.getByte(nameEnd))) {
            nameEnd++;
        }
        int colon = skipWhiteSpace(bytes, nameEnd, end);
        return colon < end && bytes.getByte(colon) == ':';
    }

    private static int skipWhiteSpace(ByteBuf bytes, int begin, int end) {
        int index = begin;
        while (index < end && (bytes.getByte(index) == ' ' || bytes.getByte(index) == '\t')) {
            index++;
        }
        return index;
    }

    private static boolean isTokenCharacter(byte character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }
}
