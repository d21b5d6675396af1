package org.rattanplank.cli;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;

/** Flags with the addresses of the store and the entry hosts. Written by JCommander, then read by one thread. */
final class ConnectionOptions {
    private static final String STORE_VARIABLE = "RATTANPLANK_STORE";
    private static final String OPERATORS_VARIABLE = "RATTANPLANK_OPERATORS";
    private static final String TIMEOUT_VARIABLE = "RATTANPLANK_TIMEOUT_MILLIS";
    private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

    @Parameter(
            names = "--store",
            description = "address of the store: IP:PORT or platform://IP:PORT (" + STORE_VARIABLE + ")")
    private String store = "";

    @Parameter(
            names = "--operators",
            description = "addresses of the entry hosts' operator ports: IP:PORT,... (" + OPERATORS_VARIABLE + ")")
    private String operators = "";

    @Parameter(names = "--timeout-millis", description = "timeout of one call (" + TIMEOUT_VARIABLE + ")")
    private String timeoutMillis = "";

    Either<Report, StoreClient> store(Console console) {
        String address = console.setting(store, STORE_VARIABLE);
        if (address.isEmpty()) {
            return Either.left(Report.of(ExitCode.USAGE, "--store or " + STORE_VARIABLE + " must name the store"));
        }
        return timeout(console).map(timeout -> StoreClient.of(address, timeout));
    }

    Either<Report, OperatorsClient> operators(Console console) {
        List<String> addresses = Stream.of(
                        console.setting(operators, OPERATORS_VARIABLE).split(","))
                .map(String::trim)
                .filter(address -> !address.isEmpty())
                .toList();
        if (addresses.isEmpty()) {
            return Either.left(Report.of(
                    ExitCode.USAGE,
                    "--operators or " + OPERATORS_VARIABLE + " must name the entry hosts' operators' ports"));
        }
        return timeout(console).map(timeout -> OperatorsClient.of(addresses, timeout));
    }

    private Either<Report, Duration> timeout(Console console) {
        String text = console.setting(timeoutMillis, TIMEOUT_VARIABLE);
        if (text.isEmpty()) {
            return Either.right(Duration.ofMillis(DEFAULT_TIMEOUT_MILLIS));
        }
        if (!text.matches("[1-9][0-9]{0,8}")) {
            return Either.left(Report.of(
                    ExitCode.USAGE,
                    "--timeout-millis or " + TIMEOUT_VARIABLE + " is " + text + ", not a number above zero"));
        }
        return Either.right(Duration.ofMillis(Long.parseLong(text)));
    }
}
