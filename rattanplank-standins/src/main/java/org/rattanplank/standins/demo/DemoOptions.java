package org.rattanplank.standins.demo;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The options of the demo's programs. Written by JCommander before any thread reads them, constant afterwards. */
final class DemoOptions {
    @Parameter(names = "--platform", description = "IP:PORT of the platform")
    String platform = "";

    @Parameter(
            names = "--host",
            splitter = NoSplitter.class,
            description = "NAME,REGION,DATA-CENTRE,CALLERS,PEERS of an entry host")
    List<String> hosts = new ArrayList<>();

    @Parameter(names = "--ask", description = "IP:PORT of an entry host that returns the entry hosts to use")
    String entryHost = "";

    @Parameter(names = "--token", description = "the account's bearer token")
    String token = "";

    @Parameter(names = "--model", description = "the model service")
    String modelService = "";

    @Parameter(names = "--plain", description = "the plain service")
    String plainService = "";
}
