package org.parsleycart.command;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Durations;
import org.parsleycart.model.document.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that start, show and abort rollouts. */
@Command(
    name = "rollout",
    description = "Starts, shows and aborts rollouts of new upstream versions.",
    mixinStandardHelpOptions = true,
    subcommands = {
      RolloutCommands.Start.class,
      RolloutCommands.Status.class,
      RolloutCommands.Abort.class
    })
final class RolloutCommands {

  /** Starts a rollout of one service. */
  @Command(
      name = "start",
      description = "Moves the traffic of one service to a new version in steps.",
      mixinStandardHelpOptions = true)
  static final class Start extends DaemonCommand {
    @Parameters(paramLabel = "NAME", description = "The name of the rollout.")
    private String name;

    @Option(
        names = "--services",
        required = true,
        split = ",",
        paramLabel = "LABEL=VALUE",
        description = "Labels that select exactly one service; its name is the label 'name'.")
    private Map<String, String> services;

    @Option(names = "--to", required = true, paramLabel = "VERSION", description = "New version.")
    private String version;

    @Option(
        names = "--within",
        defaultValue = "10m",
        description = "Time until the new version has all traffic (default: ${DEFAULT-VALUE}).")
    private Duration within;

    @Override
    Either<CommandError, ExitCode> run(DaemonClient client) {
      Document.Mapping rollout =
          Document.mapping()
              .with("name", name)
              .withTexts("services", services)
              .with("version", version)
              .with("completeWithin", Durations.format(within))
              .build();
      return requestAndPrint(
          client,
          HttpRequest.of("POST", "/rollouts" + changeQuery()).body(JsonDocuments.format(rollout)));
    }
  }

  /** Shows the state of a rollout; its phase determines the exit code. */
  @Command(
      name = "status",
      description = "Prints a rollout, its share, phase and reason.",
      mixinStandardHelpOptions = true)
  static final class Status extends DaemonCommand {
    @Parameters(paramLabel = "NAME", description = "The name of the rollout.")
    private String name;

    @Override
    Either<CommandError, ExitCode> run(DaemonClient client) {
      return client
          .requestDocument(HttpRequest.of("GET", "/rollouts/" + encode(name)))
          .peek(this::print)
          .map(RolloutOutcome::exitCode);
    }
  }

  /** Aborts a rollout, so that all traffic returns to the old version. */
  @Command(
      name = "abort",
      description = "Aborts a rollout; the old version receives all traffic again.",
      mixinStandardHelpOptions = true)
  static final class Abort extends DaemonCommand {
    @Parameters(paramLabel = "NAME", description = "The name of the rollout.")
    private String name;

    @Override
    Either<CommandError, ExitCode> run(DaemonClient client) {
      return requestAndPrint(
          client, HttpRequest.of("POST", "/rollouts/" + encode(name) + "/abort" + changeQuery()));
    }
  }
}
