package org.rattanplank.daemon.runtime;

import java.util.Objects;

import io.netty.channel.EventLoopGroup;
import org.rattanplank.daemon.http.Exchanges;
import org.rattanplank.daemon.http.WebClient;

/**
 * What the parts that talk to others share. Immutable and thread safe.
 *
 * @param loops Ratpack's event loops
 * @param client makes short calls
 * @param exchanges makes calls whose answers are watched as they come
 * @param events hears what happens
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
