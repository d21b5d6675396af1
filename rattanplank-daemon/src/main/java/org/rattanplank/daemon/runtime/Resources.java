package org.rattanplank.daemon.runtime;

import java.util.Objects;

import io.netty.channel.EventLoopGroup;
import org.rattanplank.daemon.http.Exchanges;
import org.rattanplank.daemon.http.WebClient;

/**
 * Resources shared by the components that communicate with targets, peers and the platform. Immutable and thread safe.
 *
 * @param loops the event loops of Ratpack
 * @param client sends short requests
 * @param exchanges sends requests whose responses are processed incrementally
 * @param events receives the events of the components
 * @param clock the clock
 */
public record Resources(EventLoopGroup loops, WebClient client, Exchanges exchanges, Events events, MillisClock clock) {
    public Resources {
        Objects.requireNonNull(loops, "loops");
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(exchanges, "exchanges");
        Objects.requireNonNull(events, "events");
        Objects.requireNonNull(clock, "clock");
    }
}
