package org.rattanplank.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Asks an entry host to finish its requests and stop. Run once by one thread. */
@Parameters(commandDescription = "ask an entry host to finish its requests and stop")
final class DrainCommand extends Command {
    @Parameter(description = "HOST", required = true)
    private String host = "";

    @ParametersDelegate
    private final Connection connection = new Connection();

    @Override
    Report run(Console console) {
        return connection.operators(console).fold(refused -> refused, this::drain);
    }

    private Report drain(OperatorsClient operators) {
        boolean reached = false;
        for (HostStatus status : operators.statuses()) {
            reached |= status.reached();
            if (status.reached() && status.host().equals(host)) {
                return operators
                        .post(status.address(), "/drain")
                        .fold(failure -> Report.of(ExitCode.UNREACHABLE, failure.reason()), this::answered);
            }
        }
        return reached
                ? Report.of(ExitCode.REFUSED, "no entry host that answers is called " + host)
                : Report.of(ExitCode.UNREACHABLE, "no entry host answers");
    }

    private Report answered(WebAnswer answer) {
        return answer.isGood()
                ? Report.of(ExitCode.DONE, host + " takes no new work and stops once its requests have ended")
                : Report.of(ExitCode.REFUSED, host + " answered " + answer.status() + " " + answer.body());
    }
}
