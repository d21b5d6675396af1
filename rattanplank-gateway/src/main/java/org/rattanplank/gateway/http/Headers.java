package org.rattanplank.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/** Creates HTTP headers. Stateless and thread safe. */
public final class Headers {
    private static final DefaultHttpHeadersFactory FACTORY =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private Headers() {}

    /**
     * Creates headers without validation. They hold what a decoder has validated already; validating it again would
     * double the cost for each request.
     *
     * @return empty headers
     */
    public static HttpHeaders unchecked() {
        return FACTORY.newHeaders();
    }
}
