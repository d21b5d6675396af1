package org.rattanplank.daemon.peer;

import java.util.Objects;

import io.netty.channel.WriteBufferWaterMark;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.MillisClock;
import org.rattanplank.schema.message.Hello;

/**
 * The context that all links and peer connections of a host share. Immutable and thread safe.
 *
 * @param self the hello that identifies this host
 * @param directory resolves the addresses of hosts
 * @param clock the clock
 * @param times the timeouts and intervals of links
 * @param sizes the size limits of links
 * @param traffic counts the messages and bytes of links
 * @param listener receives the events of links
 */
record LinkContext(
        Hello self,
        Directory directory,
        MillisClock clock,
        PeerTimes times,
        PeerSizes sizes,
        TrafficCounter traffic,
        LinkListener listener) {
    LinkContext {
        Objects.requireNonNull(self, "self");
    }

    WriteBufferWaterMark waterMark() {
        return Link.waterMarkOf(sizes);
    }
}
