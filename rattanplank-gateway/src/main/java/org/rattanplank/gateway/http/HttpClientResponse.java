package org.rattanplank.gateway.http;

/**
 * A complete response. Immutable by convention: the body must not be modified.
 *
 * @param status the status
 * @param body the body
 */
public record HttpClientResponse(int status, byte[] body) {}
