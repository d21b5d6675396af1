package org.rattanplank.standins.demo;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.platform.HostsClient;

/** Adds entry hosts to the platform's host list, as a platform does when it starts them. */
public final class EnlistHosts {
    private EnlistHosts() {}

    /**
     * Adds all hosts of the options.
     *
     * @param args the command-line options
     */
    public static void main(String[] args) {
        DemoOptions options = new DemoOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        HostsClient client = HostsClient.of(options.platform);
        for (String host : options.hosts) {
            String[] fields = host.split(",");
            client.put(fields[0], hostListEntry(fields[1], fields[2], fields[3], fields[4]));
        }
    }

    /**
     * Returns the host list's entry of an entry host.
     *
     * @param region the host's region
     * @param dataCentre the host's data centre
     * @param callersAddress the host's address for callers
     * @param peersAddress the host's address for other entry hosts
     * @return the entry
     */
    public static ObjectNode hostListEntry(
            String region, String dataCentre, String callersAddress, String peersAddress) {
        return Json.object()
                .put("role", "entry")
                .put("region", region)
                .put("dataCentre", dataCentre)
                .put("address", callersAddress.substring(0, callersAddress.lastIndexOf(':')))
                .put("port", port(callersAddress))
                .put("peerPort", port(peersAddress))
                .put("service", "")
                .put("leaving", false);
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
