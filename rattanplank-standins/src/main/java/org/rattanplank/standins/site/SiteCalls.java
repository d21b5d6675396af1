package org.rattanplank.standins.site;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.platform.PlatformPaths;
import org.rattanplank.standins.http.Json;

/**
 * Installs a configuration and calls the gateway as callers of the deployment platform do, for the demo. Not thread safe.
 */
public final class SiteCalls {
    private static final int STATUS_OK = 200;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_ATTEMPTS = 100;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final int REQUEST_TIMEOUT_MILLIS = 4_000;
    private static final int STATUS_UNAVAILABLE = 503;

    /** Each host of a region receives some of the requests that other regions forward to it. */
    private static final int FORWARDED_ROUNDS = 4;

    private static final List<String> LOCAL_PREFIXES = List.of(
            SiteConfigurations.DRAFTS_PREFIX,
            SiteConfigurations.BOOKINGS_PREFIX,
            SiteConfigurations.QUESTIONS_PREFIX,
            SiteConfigurations.LOOKUPS_PREFIX);
    private static final List<String> FORWARDED_PREFIXES =
            List.of(SiteConfigurations.REPORTS_PREFIX, SiteConfigurations.AUDITS_PREFIX);

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
    private final HeaderNames headerNames = PlatformHeaders.names();

    private SiteCalls() {}

    /**
     * Sends requests of all routes to each entry host of each region and prints the responses; fails unless all of them
     * succeed.
     *
     * @param args the command-line options
     * @throws IOException if a call fails or too few entry hosts accept callers in time
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        // Callers address a host name that no name service resolves here, so the Host header is set explicitly. The
        // HTTP client reads this property only once, when it is first used.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        SiteStoreClient.of(options.store).configure(SiteConfigurations.allKindsOf(1));
        SiteCalls calls = new SiteCalls();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < options.regions.size(); i++) {
            hosts.addAll(calls.entryHosts(options.directory, options.regions.get(i), i == 0 ? options.hosts : 1));
        }
        for (String host : hosts) {
            System.out.println("entry host: " + host);
            calls.callAll(host, LOCAL_PREFIXES);
        }
        for (int i = 0; i < FORWARDED_ROUNDS; i++) {
            for (String host : hosts) {
                calls.callAll(host, FORWARDED_PREFIXES);
            }
        }
    }

    private void callAll(String host, List<String> prefixes) throws IOException, InterruptedException {
        for (String path : prefixes) {
            HttpResponse<String> response = callUntilAvailable(host, path);
            System.out.println("POST " + path + " -> " + response.statusCode());
            System.out.println(response.body().strip());
            if (response.statusCode() != STATUS_OK) {
                throw new IOException("unsuccessful response to " + path);
            }
        }
    }

    /** Repeats a call that was rejected as not run, as by a host to which no other region has reported its load yet. */
    private HttpResponse<String> callUntilAvailable(String host, String path) throws IOException, InterruptedException {
        HttpResponse<String> response = call(host, path);
        for (int i = 0; i < MAX_ATTEMPTS && response.statusCode() == STATUS_UNAVAILABLE; i++) {
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
            response = call(host, path);
        }
        return response;
    }

    private List<String> entryHosts(String directory, String region, int count)
            throws IOException, InterruptedException {
        String uri = "http://" + directory + PlatformPaths.RESOLVE + "?name=" + SiteConfigurations.HOST_NAME
                + "&region=" + region + "&zone=" + region + "-hall";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(CALL_TIMEOUT)
                    .build();
            JsonNode response = Json.readOrEmpty(
                    client.send(request, HttpResponse.BodyHandlers.ofString()).body());
            if (response.path("addresses").size() >= count) {
                List<String> addresses = new ArrayList<>();
                response.path("addresses").forEach(address -> addresses.add(address.asText()));
                return addresses;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        }
        throw new IOException("fewer than " + count + " entry hosts of " + region + " accepted callers in time");
    }

    private HttpResponse<String> call(String host, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + host + path + "1"))
                .setHeader("Host", SiteConfigurations.HOST_NAME)
                .setHeader(headerNames.requestId(), Long.toHexString(System.nanoTime()))
                .setHeader(headerNames.timeoutMillis(), Integer.toString(REQUEST_TIMEOUT_MILLIS))
                .setHeader(headerNames.tokens(), "1200,100")
                .setHeader(headerNames.promptParts(), "manual:700,own:500")
                .setHeader(headerNames.outputTokensHint(), "50")
                .timeout(CALL_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** The options. Written by JCommander before any thread reads them, constant afterwards. */
    private static final class Options {
        @Parameter(names = "--store", description = "the store's address", required = true)
        private String store;

        @Parameter(names = "--directory", description = "the address of the entry host directory", required = true)
        private String directory;

        @Parameter(
                names = "--regions",
                description = "the regions whose entry hosts are called, separated by commas",
                required = true)
        private List<String> regions;

        @Parameter(
                names = "--hosts",
                description = "the number of entry hosts of the first region to wait for; of the others one is enough")
        private int hosts = 1;
    }
}
