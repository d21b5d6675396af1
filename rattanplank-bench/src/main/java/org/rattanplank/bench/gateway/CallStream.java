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

/** Calls to hosts by turns at a steady rate, drafts and bookings by turns. Thread safe. */
final class CallStream implements AutoCloseable {
    private static final int OK = 200;
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final HeaderNames NAMES = PlatformHeaders.names();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<InetSocketAddress> hosts;
    private final AtomicLong made = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();

    private CallStream(List<InetSocketAddress> hosts) {
        this.hosts = hosts;
    }

    static CallStream start(List<InetSocketAddress> hosts, double perSecond) {
        CallStream stream = new CallStream(hosts);
        long gapMicros = Math.max(1, Math.round(TimeUnit.SECONDS.toMicros(1) / perSecond));
        stream.timer.scheduleAtFixedRate(stream::call, gapMicros, gapMicros, TimeUnit.MICROSECONDS);
        return stream;
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
        long number = made.getAndIncrement();
        InetSocketAddress host = hosts.get((int) (number % hosts.size()));
        boolean draft = number / hosts.size() % 2 == 0;
        String path = draft ? SiteConfigurations.DRAFTS : SiteConfigurations.BOOKINGS;
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + host.getHostString() + ":" + host.getPort() + path + "1"))
                .timeout(LIMIT)
                .header("host", SiteConfigurations.HOST_NAME)
                .header(NAMES.requestId(), "c" + number)
                .header(NAMES.timeoutMillis(), Integer.toString(TIMEOUT_MILLIS))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((answer, failure) -> count(answer, failure));
    }

    private void count(HttpResponse<String> answer, Throwable failure) {
        boolean good = failure == null && answer.statusCode() == OK;
        (good ? answered : failed).incrementAndGet();
    }
}
