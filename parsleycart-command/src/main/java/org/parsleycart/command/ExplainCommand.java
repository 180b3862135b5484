package org.parsleycart.command;

import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.parsleycart.link.http.HttpRequest;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Explains a request: prints the log lines of all daemons about one that has been made, or asks a
 * daemon where one would go now.
 */
@Command(
    name = "explain",
    description = {
      "With REQUEST: prints the log lines of a request from the logs of all daemons, ordered by"
          + " time.",
      "With --path: asks a daemon where such a request would go now and why. Nothing is sent to an"
          + " upstream."
    },
    mixinStandardHelpOptions = true)
final class ExplainCommand extends DaemonCommand {
  private static final String STANDARD_INPUT = "standard input";

  @Parameters(
      index = "0",
      arity = "0..1",
      paramLabel = "REQUEST",
      description = "The identifier of a request that has been made.")
  private String request;

  @ArgGroup(exclusive = false, heading = "A request that has not been made:%n")
  private ExplainQuery query;

  @Parameters(
      index = "1..*",
      arity = "0..*",
      paramLabel = "FILE",
      description = "Log files of daemons; standard input if none is given.")
  private List<Path> files = List.of();

  @Spec private CommandSpec spec;

  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    if ((request == null) == (query == null)) {
      return Either.left(error("either REQUEST or --path is needed"));
    }
    return query == null
        ? read().flatMap(this::timeline).map(this::print)
        : requestAndPrint(client, HttpRequest.of("GET", "/explain" + query.toParameters()));
  }

  private Either<CommandError, List<LogLine>> read() {
    List<LogLine> lines = new ArrayList<>();
    try {
      if (files.isEmpty()) {
        // Closing the reader would close standard input, so it stays open.
        read(
            STANDARD_INPUT,
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
            lines);
      }
      for (Path file : files) {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
          read(file.toString(), reader, lines);
        }
      }
    } catch (IOException e) {
      return Either.left(error("log cannot be read: " + e));
    }
    return Either.right(lines);
  }

  private static void read(String source, BufferedReader reader, List<LogLine> lines) {
    reader.lines().flatMap(text -> LogLine.parse(source, text).stream()).forEach(lines::add);
  }

  private Either<CommandError, RequestTimeline> timeline(List<LogLine> lines) {
    RequestTimeline timeline = RequestTimeline.of(request, lines);
    return timeline.lines().isEmpty()
        ? Either.left(
            error(
                "no line about request "
                    + request
                    + " among "
                    + lines.size()
                    + " structured lines"))
        : Either.right(timeline);
  }

  private static CommandError error(String message) {
    return new CommandError(ExitCode.BAD_INPUT, message, List.of());
  }

  private ExitCode print(RequestTimeline timeline) {
    timeline
        .lines()
        .forEach(
            line ->
                spec.commandLine()
                    .getOut()
                    .println(
                        line.time()
                            + "  "
                            + line.origin()
                            + "  "
                            + line.event()
                            + "  "
                            + line.details()));
    spec.commandLine().getOut().flush();
    return ExitCode.DONE;
  }
}
