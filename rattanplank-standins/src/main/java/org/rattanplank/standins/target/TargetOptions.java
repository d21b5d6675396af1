package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The settings of a process of targets. Written by JCommander before any thread reads them, then left alone. */
public final class TargetOptions {
    @Parameter(names = "--region", required = true, description = "the region in which the targets stand")
    String region;

    @Parameter(names = "--data-centre", required = true, description = "the data centre in which the targets stand")
    String dataCentre;

    @Parameter(names = "--model", description = "SERVICE:COUNT, a service of model engines")
    List<String> modelServices = new ArrayList<>();

    @Parameter(names = "--plain", description = "SERVICE:COUNT, a plain service")
    List<String> plainServices = new ArrayList<>();

    @Parameter(names = "--loaded", description = "the models that the engines have loaded, NAME@VERSION")
    List<String> loadedModels = new ArrayList<>();

    @Parameter(names = "--platform", description = "IP:PORT of the platform in whose list the targets are entered")
    String platform = "";

    @Parameter(names = "--slots", description = "how many calls run at once at one target")
    int slots = 16;

    @Parameter(names = "--token-millis", description = "the time of one step of a batch")
    long tokenMillis = 4;

    @Parameter(names = "--prefill-tokens-per-step", description = "how many cold prompt tokens one step takes")
    long prefillTokensPerStep = 512;

    @Parameter(names = "--cache-tokens", description = "how many prompt tokens the prefix cache holds")
    long cacheTokens = 65_536;

    @Parameter(names = "--cache-lag-millis", description = "how late cache events are published")
    long cacheLagMillis = 100;

    @Parameter(names = "--cache-gap-every", description = "every how many cache events one is lost; zero for never")
    long cacheGapEvery = 20;

    @Parameter(names = "--delay-millis", description = "the time of one call to a plain service")
    long delayMillis = 30;

    @Parameter(names = "--load-lag-millis", description = "how old a report of load gets")
    long loadLagMillis = 100;

    @Parameter(names = "--load-model-millis", description = "how long a target takes to load a model")
    long loadModelMillis = 200;

    @Parameter(names = "--checks-fencing", description = "refuse orders with an old fencing number")
    boolean checksFencing;
}
