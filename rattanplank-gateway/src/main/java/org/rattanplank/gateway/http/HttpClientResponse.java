package org.rattanplank.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response. Immutable by convention: the body must not be modified.
 *
 * @param status the status
 * @param headers the headers
 * @param body the body
 */
public record HttpClientResponse(int status, HttpHeaders headers, byte[] body) {}
