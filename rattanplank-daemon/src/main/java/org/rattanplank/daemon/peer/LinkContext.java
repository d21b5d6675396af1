package org.rattanplank.daemon.peer;

import java.util.Objects;

import io.netty.channel.WriteBufferWaterMark;
import org.rattanplank.daemon.platform.Directory;
import org.rattanplank.daemon.runtime.MillisClock;
import org.rattanplank.schema.message.Hello;

/**
 * What all links of a host share. Immutable and thread safe.
 *
 * @param self how this host introduces itself
 * @param directory knows the addresses
 * @param clock the clock
 * @param times the times of links
 * @param sizes the sizes of links
 * @param traffic counts what goes over links
 * @param listener hears what happens on links
 */
record LinkContext(
        Hello self,
        Directory directory,
        MillisClock clock,
        PeerTimes times,
        PeerSizes sizes,
        Traffic traffic,
        LinkListener listener) {
    LinkContext {
        Objects.requireNonNull(self, "self");
    }

    WriteBufferWaterMark waterMark() {
        return Link.waterMarkOf(sizes);
    }
}
