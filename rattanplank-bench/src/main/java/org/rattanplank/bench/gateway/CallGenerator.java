package org.rattanplank.bench.gateway;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.rattanplank.gateway.HeaderNames;
import org.rattanplank.platform.PlatformHeaders;
import org.rattanplank.standins.site.SiteConfigurations;

/** Generates calls to all hosts in turn at a constant rate, alternating drafts and bookings. Thread safe. */
final class CallGenerator implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(5);
    private static final int REQUEST_TIMEOUT_MILLIS = 4_000;
    private static final HeaderNames HEADER_NAMES = PlatformHeaders.names();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<InetSocketAddress> hosts;
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();

    private CallGenerator(List<InetSocketAddress> hosts) {
        this.hosts = hosts;
    }

    static CallGenerator start(List<InetSocketAddress> hosts, double callsPerSecond) {
        CallGenerator calls = new CallGenerator(hosts);
        long intervalMicros = Math.max(1, Math.round(TimeUnit.SECONDS.toMicros(1) / callsPerSecond));
        calls.timer.scheduleAtFixedRate(calls::call, intervalMicros, intervalMicros, TimeUnit.MICROSECONDS);
        return calls;
    }

    long answered() {
        return answered.get();
    }

    long failed() {
        return failed.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void call() {
        long number = sent.getAndIncrement();
        InetSocketAddress host = hosts.get((int) (number % hosts.size()));
        boolean draft = number / hosts.size() % 2 == 0;
        String path = draft ? SiteConfigurations.DRAFTS_PREFIX : SiteConfigurations.BOOKINGS_PREFIX;
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + host.getHostString() + ":" + host.getPort() + path + "1"))
                .timeout(CLIENT_TIMEOUT)
                .header("host", SiteConfigurations.HOST_NAME)
                .header(HEADER_NAMES.requestId(), "c" + number)
                .header(HEADER_NAMES.timeoutMillis(), Integer.toString(REQUEST_TIMEOUT_MILLIS))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((response, failure) -> count(response, failure));
    }

    private void count(HttpResponse<String> response, Throwable failure) {
        boolean succeeded = failure == null && response.statusCode() == STATUS_OK;
        (succeeded ? answered : failed).incrementAndGet();
    }
}
