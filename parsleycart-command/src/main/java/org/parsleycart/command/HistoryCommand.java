package org.parsleycart.command;

import io.vavr.control.Either;
import org.parsleycart.link.http.HttpRequest;
import picocli.CommandLine.Command;

/** Prints the recent configuration changes held by one daemon. */
@Command(
    name = "history",
    description = "Prints the recent changes held by the first daemon that answers.",
    mixinStandardHelpOptions = true)
final class HistoryCommand extends DaemonCommand {
  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    return requestAndPrint(client, HttpRequest.of("GET", "/history"));
  }
}
