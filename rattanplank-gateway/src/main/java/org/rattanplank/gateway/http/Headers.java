package org.rattanplank.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/** Makes headers. Stateless and thread safe. */
public final class Headers {
    private static final DefaultHttpHeadersFactory FACTORY =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private Headers() {}

    /**
     * Makes headers that take whatever a decoder has let through; checking each again would cost each request twice.
     *
     * @return empty headers
     */
    public static HttpHeaders unchecked() {
        return FACTORY.newHeaders();
    }
}
