package org.rattanplank.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Asks an entry host to drain: to finish its requests in flight and stop. Run once by one thread. */
@Parameters(commandDescription = "drain an entry host: finish its requests in flight, then stop")
final class DrainCommand extends Command {
    @Parameter(description = "HOST", required = true)
    private String host = "";

    @ParametersDelegate
    private final ConnectionOptions connectionOptions = new ConnectionOptions();

    @Override
    Report run(Console console) {
        return connectionOptions.operators(console).fold(failure -> failure, this::drain);
    }

    private Report drain(OperatorsClient operators) {
        boolean anyReachable = false;
        for (HostStatus status : operators.statuses()) {
            anyReachable |= status.reachable();
            if (status.reachable() && status.host().equals(host)) {
                return operators
                        .post(status.address(), "/drain")
                        .fold(failure -> Report.of(ExitCode.UNREACHABLE, failure.reason()), this::drainReport);
            }
        }
        return anyReachable
                ? Report.of(ExitCode.REFUSED, "no entry host that answers is called " + host)
                : Report.of(ExitCode.UNREACHABLE, "no entry host answers");
    }

    private Report drainReport(JsonResponse response) {
        return response.isSuccess()
                ? Report.of(ExitCode.DONE, host + " takes no new work and stops once its requests have ended")
                : Report.of(ExitCode.REFUSED, host + " answered " + response.status() + " " + response.body());
    }
}
