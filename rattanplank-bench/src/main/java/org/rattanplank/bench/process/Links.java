package org.rattanplank.bench.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.link.Link;
import org.rattanplank.standins.link.LinkState;

/** The relays of a fleet. Not thread safe: confined to the thread that runs the fleet. */
public final class Links {
    private static final String PLATFORM = "platform";

    private final EventLoop loop;
    private final Map<Ends, Link> links = new LinkedHashMap<>();

    Links(EventLoop loop) {
        this.loop = loop;
    }

    String toPlatform(String dataCentre, String address) {
        return open(new Ends(dataCentre, PLATFORM, PLATFORM), address);
    }

    String toHost(String dataCentre, String otherDataCentre, String host, String address) {
        return open(new Ends(dataCentre, otherDataCentre, host), address);
    }

    String toTarget(String dataCentre, String target, String address) {
        return open(new Ends(dataCentre, dataCentre, target), address);
    }

    /**
     * Changes the state of all relays between a data centre and the rest: other data centres and the platform.
     *
     * @param dataCentre the data centre
     * @param state the state
     */
    public void around(String dataCentre, LinkState state) {
        change(ends -> ends.leaves(dataCentre), state);
    }

    /**
     * Changes the state of a data centre's relay to the platform.
     *
     * @param dataCentre the data centre
     * @param state the state
     */
    public void platform(String dataCentre, LinkState state) {
        change(ends -> ends.from().equals(dataCentre) && ends.to().equals(PLATFORM), state);
    }

    /**
     * Makes the open connections to a target silent, while new ones work.
     *
     * @param target the target
     */
    public void silenceOpenConnections(String target) {
        links.forEach((ends, link) -> {
            if (ends.name().equals(target)) {
                link.silenceOpenConnections();
            }
        });
    }

    /** Lets all relays pass everything on. */
    public void heal() {
        change(ends -> true, LinkState.up());
    }

    private void change(Predicate<Ends> which, LinkState state) {
        links.forEach((ends, link) -> {
            if (which.test(ends)) {
                link.state(state);
            }
        });
    }

    private String open(Ends ends, String address) {
        Link link = Link.open(loop, Addresses.read(address));
        links.put(ends, link);
        return link.address();
    }

    private record Ends(String from, String to, String name) {
        private boolean leaves(String dataCentre) {
            return !from.equals(to) && (from.equals(dataCentre) || to.equals(dataCentre));
        }
    }
}
