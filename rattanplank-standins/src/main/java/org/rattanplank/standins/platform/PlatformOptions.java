package org.rattanplank.standins.platform;

import com.beust.jcommander.Parameter;

/** The platform's options. Written by JCommander before any thread reads them, constant afterwards. */
public final class PlatformOptions {
    @Parameter(names = "--port", description = "the port; zero for an ephemeral port")
    int port;

    @Parameter(names = "--list-lag-millis", description = "the lag of the host list")
    long listLagMillis;

    @Parameter(names = "--transfer-millis", description = "the time that the weight store takes to transfer one model")
    long transferMillis = 200;
}
