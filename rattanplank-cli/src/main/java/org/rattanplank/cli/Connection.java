package org.rattanplank.cli;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;

/** Where the store and the entry hosts are. Written by JCommander, then read by one thread. */
final class Connection {
    private static final String STORE = "RATTANPLANK_STORE";
    private static final String OPERATORS = "RATTANPLANK_OPERATORS";
    private static final String TIMEOUT = "RATTANPLANK_TIMEOUT_MILLIS";
    private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

    @Parameter(names = "--store", description = "IP:PORT of the store, or platform://IP:PORT (" + STORE + ")")
    private String store = "";

    @Parameter(
            names = "--operators",
            description = "IP:PORT,... of the entry hosts' ports for operators (" + OPERATORS + ")")
    private String operators = "";

    @Parameter(names = "--timeout-millis", description = "how long one call may take (" + TIMEOUT + ")")
    private String timeoutMillis = "";

    Either<Report, StoreClient> store(Console console) {
        String address = console.setting(store, STORE);
        if (address.isEmpty()) {
            return Either.left(Report.of(ExitCode.USAGE, "--store or " + STORE + " must name the store"));
        }
        return timeout(console).map(timeout -> StoreClient.of(address, timeout));
    }

    Either<Report, OperatorsClient> operators(Console console) {
        List<String> addresses = Stream.of(console.setting(operators, OPERATORS).split(","))
                .map(String::trim)
                .filter(address -> !address.isEmpty())
                .toList();
        if (addresses.isEmpty()) {
            return Either.left(Report.of(
                    ExitCode.USAGE, "--operators or " + OPERATORS + " must name the entry hosts' operators' ports"));
        }
        return timeout(console).map(timeout -> OperatorsClient.of(addresses, timeout));
    }

    private Either<Report, Duration> timeout(Console console) {
        String text = console.setting(timeoutMillis, TIMEOUT);
        if (text.isEmpty()) {
            return Either.right(Duration.ofMillis(DEFAULT_TIMEOUT_MILLIS));
        }
        if (!text.matches("[1-9][0-9]{0,8}")) {
            return Either.left(Report.of(
                    ExitCode.USAGE, "--timeout-millis or " + TIMEOUT + " is " + text + ", not a number above zero"));
        }
        return Either.right(Duration.ofMillis(Long.parseLong(text)));
    }
}
