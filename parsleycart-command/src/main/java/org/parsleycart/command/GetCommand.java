package org.parsleycart.command;

import io.vavr.control.Either;
import org.parsleycart.link.http.HttpRequest;
import picocli.CommandLine.Command;

/** Prints the configuration in force. */
@Command(
    name = "get",
    description = "Prints the configuration in force at the daemon asked.",
    mixinStandardHelpOptions = true)
final class GetCommand extends DaemonCommand {
  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    return askAndPrint(client, HttpRequest.of("GET", "/configuration"));
  }
}
