package org.rattanplank.core.response;

/** Tells which status codes a response may have (RFC 9110, section 15). Stateless and thread safe. */
public final class StatusCode {
    private static final int MIN = 100;
    private static final int MAX = 599;
    private static final int DIGITS = 3;

    private StatusCode() {}

    /**
     * Returns whether a response may have a status code.
     *
     * @param code the status code
     * @return whether it is within the range of status codes
     */
    public static boolean isValid(long code) {
        return code >= MIN && code <= MAX;
    }

    /**
     * Returns whether a text is a status code that a response may have.
     *
     * @param text the status code as it stands in a status line
     * @return whether it has three digits and is within the range of status codes
     */
    public static boolean isValid(String text) {
        if (text.length() != DIGITS) {
            return false;
        }
        int code = 0;
        for (int i = 0; i < DIGITS; i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return false;
            }
            code = code * 10 + digit - '0';
        }
        return isValid(code);
    }
}
