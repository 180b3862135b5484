package org.parsleycart.command;

import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The options and steps shared by all commands that send requests to a daemon. */
abstract class DaemonCommand implements Callable<Integer> {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  @Option(
      names = "--daemon",
      split = ",",
      defaultValue = "127.0.0.1:7403",
      paramLabel = "ADDRESS",
      description = "Operator addresses of daemons; if one does not answer, the next is tried.")
  private List<String> daemons;

  @Option(
      names = "--timeout",
      defaultValue = "5s",
      description = "Timeout of a request to one daemon (default: ${DEFAULT-VALUE}).")
  private Duration timeout;

  @Option(
      names = "--output",
      defaultValue = "table",
      description = "Output format: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
  private OutputFormat output;

  @Spec private CommandSpec spec;

  // -- steps

  /** Executes the command and prints its result. */
  abstract Either<CommandError, ExitCode> run(DaemonClient client);

  @Override
  public final Integer call() {
    try (DaemonClient client = new DaemonClient(daemons, timeout)) {
      return run(client)
          .fold(
              error -> {
                CommandMain.printError(spec.commandLine(), error);
                return error.exitCode().code();
              },
              ExitCode::code);
    }
  }

  final ExitCode print(Document document) {
    spec.commandLine().getOut().println(output.format(document));
    spec.commandLine().getOut().flush();
    return ExitCode.DONE;
  }

  final Either<CommandError, ExitCode> requestAndPrint(DaemonClient client, HttpRequest request) {
    return client.requestDocument(request).map(this::print);
  }

  /** Returns query parameters with a new change identifier and the author of the change. */
  static String changeQuery() {
    String author = System.getProperty("user.name", "operator");
    return "?change=" + UUID.randomUUID() + "&author=" + encode(author);
  }

  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  // -- waiting

  /**
   * Waits until the version in the answer is in force at all daemons or the wait ends. Prints the
   * answer before and the last state after the wait.
   */
  final Either<CommandError, ExitCode> awaitInForce(
      DaemonClient client, Document accepted, Duration wait) {
    print(accepted);
    MappingReader reader = MappingReader.of(accepted, new ArrayList<>());
    long version = reader.number("version", 0, Long.MAX_VALUE).orElse(0L);
    long deadline = System.nanoTime() + wait.toNanos();
    Either<CommandError, Document> survey = queryInForce(client, version);
    while (!isInForceEverywhere(survey) && System.nanoTime() < deadline) {
      java.util.concurrent.locks.LockSupport.parkNanos(POLL_INTERVAL.toNanos());
      survey = queryInForce(client, version);
    }
    boolean isComplete = isInForceEverywhere(survey);
    return survey.map(
        document -> {
          print(document);
          return isComplete ? ExitCode.DONE : ExitCode.NOT_YET_IN_FORCE;
        });
  }

  private static Either<CommandError, Document> queryInForce(DaemonClient client, long version) {
    return client.requestDocument(HttpRequest.of("GET", "/in-force?version=" + version));
  }

  private static boolean isInForceEverywhere(Either<CommandError, Document> survey) {
    if (survey.isLeft()) {
      return false;
    }
    MappingReader reader = MappingReader.of(survey.get(), new ArrayList<>());
    return reader.number("lagging", 0, Long.MAX_VALUE).orElse(1L) == 0
        && reader.number("silent", 0, Long.MAX_VALUE).orElse(1L) == 0;
  }
}
