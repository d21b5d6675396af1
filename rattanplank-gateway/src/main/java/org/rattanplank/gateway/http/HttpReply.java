package org.rattanplank.gateway.http;

/**
 * The whole answer to a call. Immutable by convention: nobody writes into the body.
 *
 * @param status its status
 * @param body its body
 */
public record HttpReply(int status, byte[] body) {}
