package org.rattanplank.standins.platform;

import com.beust.jcommander.Parameter;

/** The platform's settings. Written by JCommander before any thread reads them, then left alone. */
public final class PlatformOptions {
    @Parameter(names = "--port", description = "the port; zero lets the system choose")
    int port;

    @Parameter(names = "--list-lag-millis", description = "how old the list of hosts is")
    long listLagMillis;

    @Parameter(names = "--transfer-millis", description = "how long the weight store takes for one model")
    long transferMillis = 200;
}
