package org.rattanplank.cli;

import java.time.Duration;
import java.util.List;

import io.vavr.control.Either;

/** Calls the operator ports of the entry hosts. Thread safe. */
final class OperatorsClient {
    private final List<String> addresses;
    private final JsonHttpClient web;

    private OperatorsClient(List<String> addresses, JsonHttpClient web) {
        this.addresses = List.copyOf(addresses);
        this.web = web;
    }

    static OperatorsClient of(List<String> addresses, Duration timeout) {
        return new OperatorsClient(addresses, JsonHttpClient.of(timeout));
    }

    List<String> addresses() {
        return addresses;
    }

    Either<CallFailure, JsonResponse> get(String address, String path) {
        return web.get(address, path);
    }

    Either<CallFailure, JsonResponse> post(String address, String path) {
        return web.post(address, path, "");
    }

    /** Requests the status of all hosts; a host that does not return it counts as unreachable. */
    List<HostStatus> statuses() {
        return addresses.stream()
                .map(address -> web.get(address, "/status")
                        .toOption()
                        .filter(JsonResponse::isSuccess)
                        .map(response -> HostStatus.of(address, response.body()))
                        .getOrElse(() -> HostStatus.unreachable(address)))
                .toList();
    }
}
