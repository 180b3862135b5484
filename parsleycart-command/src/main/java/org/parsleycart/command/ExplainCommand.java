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
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the log lines of all daemons about one request. */
@Command(
    name = "explain",
    description =
        "Prints the log lines of a request from the logs of all daemons, ordered by time.",
    mixinStandardHelpOptions = true)
final class ExplainCommand implements Callable<Integer> {
  private static final String STANDARD_INPUT = "standard input";

  @Parameters(index = "0", paramLabel = "REQUEST", description = "The request's identifier.")
  private String request;

  @Parameters(
      index = "1..*",
      arity = "0..*",
      paramLabel = "FILE",
      description = "Log files of daemons; standard input if none is given.")
  private List<Path> files = List.of();

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    return read().flatMap(this::timeline).fold(this::report, this::print);
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

  private int report(CommandError error) {
    CommandMain.printError(spec.commandLine(), error);
    return error.exitCode().code();
  }

  private int print(RequestTimeline timeline) {
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
    return ExitCode.DONE.code();
  }
}
