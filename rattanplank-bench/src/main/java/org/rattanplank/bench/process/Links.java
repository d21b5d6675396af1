package org.rattanplank.bench.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.rattanplank.standins.http.Addresses;
import org.rattanplank.standins.http.EventLoop;
import org.rattanplank.standins.link.Link;
import org.rattanplank.standins.link.LinkState;

/** The relays between the processes of a fleet. Not thread safe: confined to the thread that runs the fleet. */
public final class Links {
    private static final String PLATFORM = "platform";

    private final EventLoop loop;
    private final Map<Endpoints, Link> links = new LinkedHashMap<>();

    Links(EventLoop loop) {
        this.loop = loop;
    }

    String toPlatform(String dataCentre, String address) {
        return open(new Endpoints(dataCentre, PLATFORM, PLATFORM), address);
    }

    String toHost(String dataCentre, String otherDataCentre, String host, String address) {
        return open(new Endpoints(dataCentre, otherDataCentre, host), address);
    }

    String toTarget(String dataCentre, String target, String address) {
        return open(new Endpoints(dataCentre, dataCentre, target), address);
    }

    /**
     * Sets the state of all relays between a data centre and the other data centres and the platform.
     *
     * @param dataCentre the data centre
     * @param state the state
     */
    public void setStateOfLinksAround(String dataCentre, LinkState state) {
        setState(endpoints -> endpoints.crossesBoundaryOf(dataCentre), state);
    }

    /**
     * Sets the state of a data centre's relay to the platform.
     *
     * @param dataCentre the data centre
     * @param state the state
     */
    public void setStateOfPlatformLink(String dataCentre, LinkState state) {
        setState(
                endpoints ->
                        endpoints.from().equals(dataCentre) && endpoints.to().equals(PLATFORM),
                state);
    }

    /**
     * Drops all bytes of the open connections to a target, while new connections work.
     *
     * @param target the target
     */
    public void dropBytesOfOpenConnections(String target) {
        links.forEach((endpoints, link) -> {
            if (endpoints.name().equals(target)) {
                link.dropBytesOfOpenConnections();
            }
        });
    }

    /** Resets all relays to forward all traffic. */
    public void heal() {
        setState(endpoints -> true, LinkState.up());
    }

    private void setState(Predicate<Endpoints> selector, LinkState state) {
        links.forEach((endpoints, link) -> {
            if (selector.test(endpoints)) {
                link.state(state);
            }
        });
    }

    private String open(Endpoints endpoints, String address) {
        Link link = Link.open(loop, Addresses.parse(address));
        links.put(endpoints, link);
        return link.address();
    }

    private record Endpoints(String from, String to, String name) {
        private boolean crossesBoundaryOf(String dataCentre) {
            return !from.equals(to) && (from.equals(dataCentre) || to.equals(dataCentre));
        }
    }
}
