package org.rattanplank.daemon.runtime;

import java.util.Objects;

import io.netty.channel.EventLoopGroup;
import org.rattanplank.daemon.http.ExchangeClient;
import org.rattanplank.daemon.http.WebClient;

/**
 * Resources shared by the components that communicate with targets, peers and the platform. Immutable and thread safe.
 *
 * @param loops the event loops of Ratpack
 * @param webClient sends short requests
 * @param exchangeClient sends requests whose responses are processed incrementally
 * @param eventSink receives the events of the components
 * @param clock the clock
 */
public record IoResources(
        EventLoopGroup loops,
        WebClient webClient,
        ExchangeClient exchangeClient,
        EventSink eventSink,
        MillisClock clock) {
    public IoResources {
        Objects.requireNonNull(loops, "loops");
        Objects.requireNonNull(webClient, "webClient");
        Objects.requireNonNull(exchangeClient, "exchangeClient");
        Objects.requireNonNull(eventSink, "eventSink");
        Objects.requireNonNull(clock, "clock");
    }
}
