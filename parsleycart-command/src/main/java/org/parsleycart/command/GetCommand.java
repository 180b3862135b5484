package org.parsleycart.command;

import io.vavr.control.Either;
import org.parsleycart.link.http.HttpRequest;
import picocli.CommandLine.Command;

/** Prints the configuration in force at one daemon. */
@Command(
    name = "get",
    description = "Prints the configuration in force at the first daemon that answers.",
    mixinStandardHelpOptions = true)
final class GetCommand extends DaemonCommand {
  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    return requestAndPrint(client, HttpRequest.of("GET", "/configuration"));
  }
}
