package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The options of a process of targets. Written by JCommander before any thread reads them, constant afterwards. */
public final class TargetOptions {
    @Parameter(names = "--region", required = true, description = "the region of the targets")
    String region;

    @Parameter(names = "--data-centre", required = true, description = "the data centre of the targets")
    String dataCentre;

    @Parameter(names = "--model", description = "SERVICE:COUNT, a model service and its number of engines")
    List<String> modelServices = new ArrayList<>();

    @Parameter(names = "--plain", description = "SERVICE:COUNT, a plain service and its number of targets")
    List<String> plainServices = new ArrayList<>();

    @Parameter(names = "--loaded", description = "the models that the engines have loaded, NAME@VERSION")
    List<String> loadedModels = new ArrayList<>();

    @Parameter(
            names = "--platform",
            description = "IP:PORT of the platform in whose host list the targets are registered")
    String platform = "";

    @Parameter(names = "--slots", description = "the maximum number of concurrent calls at one target")
    int slots = 16;

    @Parameter(names = "--token-millis", description = "the duration of one step of a batch")
    long tokenMillis = 4;

    @Parameter(names = "--prefill-tokens-per-step", description = "the uncached prompt tokens that one step prefills")
    long prefillTokensPerStep = 512;

    @Parameter(names = "--cache-tokens", description = "the capacity of the prefix cache in prompt tokens")
    long cacheTokens = 65_536;

    @Parameter(names = "--cache-lag-millis", description = "the lag with which cache events are published")
    long cacheLagMillis = 100;

    @Parameter(names = "--cache-gap-every", description = "drops one in so many cache events; zero for none")
    long cacheGapEvery = 20;

    @Parameter(names = "--delay-millis", description = "the duration of one call to a plain service")
    long delayMillis = 30;

    @Parameter(names = "--load-lag-millis", description = "the time between two updates of the load report")
    long loadLagMillis = 100;

    @Parameter(names = "--load-model-millis", description = "the time that a target takes to load a model")
    long loadModelMillis = 200;

    @Parameter(names = "--checks-fencing", description = "reject orders with a stale fencing number")
    boolean checksFencing;
}
