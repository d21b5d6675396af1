package org.rattanplank.core.response;

/** What marks the end of a response's body. Immutable and thread safe. */
public enum BodyFraming {
    /** A length or chunks, or the response has no body: a truncated body is noticed. */
    DELIMITED,
    /** Neither: the body ends with its connection, and so does a truncated one. */
    CLOSE_DELIMITED
}
