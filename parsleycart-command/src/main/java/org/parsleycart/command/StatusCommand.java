package org.parsleycart.command;

import io.vavr.control.Either;
import org.parsleycart.link.http.HttpRequest;
import picocli.CommandLine.Command;

/** Prints the state of the mesh and the daemons at which the configuration is in force. */
@Command(
    name = "status",
    description = "Prints the daemon's view of the mesh and the daemons with its version in force.",
    mixinStandardHelpOptions = true)
final class StatusCommand extends DaemonCommand {
  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    return client
        .requestDocument(HttpRequest.of("GET", "/status"))
        .peek(this::print)
        .flatMap(status -> requestAndPrint(client, HttpRequest.of("GET", "/in-force")));
  }
}
