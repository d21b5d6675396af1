package org.rattanplank.cli;

import java.time.Duration;
import java.util.List;

import io.vavr.control.Either;

/** Calls the entry hosts' ports for operators. Thread safe. */
final class OperatorsClient {
    private final List<String> addresses;
    private final Web web;

    private OperatorsClient(List<String> addresses, Web web) {
        this.addresses = List.copyOf(addresses);
        this.web = web;
    }

    static OperatorsClient of(List<String> addresses, Duration timeout) {
        return new OperatorsClient(addresses, Web.of(timeout));
    }

    List<String> addresses() {
        return addresses;
    }

    Either<WebFailure, WebAnswer> get(String address, String path) {
        return web.get(address, path);
    }

    Either<WebFailure, WebAnswer> post(String address, String path) {
        return web.post(address, path, "");
    }

    /** Asks all hosts for their status; a host that gives none counts as out of reach. */
    List<HostStatus> statuses() {
        return addresses.stream()
                .map(address -> web.get(address, "/status")
                        .toOption()
                        .filter(WebAnswer::isGood)
                        .map(answer -> HostStatus.of(address, answer.body()))
                        .getOrElse(() -> HostStatus.outOfReach(address)))
                .toList();
    }
}
