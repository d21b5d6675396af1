package org.rattanplank.standins.demo;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.platform.HostsClient;

/** Enters entry hosts into the platform's list, as a platform does when it starts them. */
public final class EnlistHosts {
    private EnlistHosts() {}

    /**
     * Enters all hosts of the settings.
     *
     * @param args the settings
     */
    public static void main(String[] args) {
        DemoOptions options = new DemoOptions();
        JCommander.newBuilder().addObject(options).build().parse(args);
        HostsClient client = HostsClient.of(options.platform);
        for (String host : options.hosts) {
            String[] fields = host.split(",");
            client.put(fields[0], entry(fields[1], fields[2], fields[3], fields[4]));
        }
    }

    /**
     * Makes what the list says of an entry host.
     *
     * @param region its region
     * @param dataCentre its data centre
     * @param callers its address for callers
     * @param peers its address for other entry hosts
     * @return the entry
     */
    public static ObjectNode entry(String region, String dataCentre, String callers, String peers) {
        return Json.object()
                .put("role", "entry")
                .put("region", region)
                .put("dataCentre", dataCentre)
                .put("address", callers.substring(0, callers.lastIndexOf(':')))
                .put("port", port(callers))
                .put("peerPort", port(peers))
                .put("service", "")
                .put("leaving", false);
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
