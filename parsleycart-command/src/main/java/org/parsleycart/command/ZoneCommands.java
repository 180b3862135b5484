package org.parsleycart.command;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.model.document.Document;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that withdraw availability zones from service and return them. */
final class ZoneCommands {
  private ZoneCommands() {}

  /** The parameters and the request shared by both commands. */
  abstract static class ZoneCommand extends DaemonCommand {
    @Parameters(paramLabel = "ZONE", description = "The name of the availability zone.")
    private String zone;

    @Option(
        names = "--wait",
        description = "Longest time to wait until it is in force everywhere (default: no wait).")
    private Optional<Duration> wait = Optional.empty();

    final Either<CommandError, ExitCode> change(
        DaemonClient client, String action, String options) {
      String path = "/zones/" + encode(zone) + "/" + action + changeQuery() + options;
      Either<CommandError, Document> accepted =
          client.requestDocument(HttpRequest.of("POST", path));
      return accepted.flatMap(
          document ->
              wait.isPresent()
                  ? awaitInForce(client, document, wait.get())
                  : Either.right(print(document)));
    }
  }

  /** Withdraws a zone from service. */
  @Command(
      name = "withdraw",
      description = "Withdraws an availability zone from service; it receives no new calls.",
      mixinStandardHelpOptions = true)
  static final class Withdraw extends ZoneCommand {
    @Option(
        names = "--force",
        description = "Withdraw even if the other zones lack the capacity for the load.")
    private boolean force;

    @Override
    Either<CommandError, ExitCode> run(DaemonClient client) {
      return change(client, "withdraw", force ? "&force=true" : "");
    }
  }

  /** Returns a zone to service. */
  @Command(
      name = "return",
      description = "Returns an availability zone to service; its upstreams start cold.",
      mixinStandardHelpOptions = true)
  static final class Return extends ZoneCommand {
    @Override
    Either<CommandError, ExitCode> run(DaemonClient client) {
      return change(client, "return", "");
    }
  }
}
