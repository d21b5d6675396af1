package org.rattanplank.standins.demo;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The settings of the demo's helpers. Written by JCommander before any thread reads them, then left alone. */
final class DemoOptions {
    @Parameter(names = "--platform", description = "IP:PORT of the platform")
    String platform = "";

    @Parameter(
            names = "--host",
            splitter = NoSplitter.class,
            description = "NAME,REGION,DATA-CENTRE,CALLERS,PEERS of an entry host")
    List<String> hosts = new ArrayList<>();

    @Parameter(names = "--ask", description = "IP:PORT of the entry host that is asked which hosts to use")
    String entryHost = "";

    @Parameter(names = "--token", description = "the account's bearer token")
    String token = "";

    @Parameter(names = "--model", description = "the service of model engines")
    String modelService = "";

    @Parameter(names = "--plain", description = "the plain service")
    String plainService = "";
}
