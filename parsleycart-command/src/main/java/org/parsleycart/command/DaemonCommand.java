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

/** The options and steps that all commands share that talk to a daemon. */
abstract class DaemonCommand implements Callable<Integer> {
  private static final Duration POLL_PAUSE = Duration.ofMillis(100);

  @Option(
      names = "--daemon",
      split = ",",
      defaultValue = "127.0.0.1:7403",
      paramLabel = "ADDRESS",
      description = "Operators' addresses of daemons; the next is tried when one is silent.")
  private List<String> daemons;

  @Option(
      names = "--timeout",
      defaultValue = "5s",
      description = "How long to wait for one daemon (default: ${DEFAULT-VALUE}).")
  private Duration timeout;

  @Option(
      names = "--output",
      defaultValue = "table",
      description = "How to print: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
  private OutputFormat output;

  @Spec private CommandSpec spec;

  // -- steps

  /** Does the work of the command. */
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

  final Either<CommandError, ExitCode> askAndPrint(DaemonClient client, HttpRequest call) {
    return client.ask(call).map(this::print);
  }

  /** Returns a query with the author and a fresh change identifier. */
  static String changeQuery() {
    String author = System.getProperty("user.name", "operator");
    return "?change=" + UUID.randomUUID() + "&author=" + encode(author);
  }

  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  // -- waiting

  /** Waits until the version in the answer is in force everywhere, and says so. */
  final Either<CommandError, ExitCode> awaitInForce(
      DaemonClient client, Document accepted, Duration wait) {
    print(accepted);
    MappingReader reader = MappingReader.of(accepted, new ArrayList<>());
    long version = reader.number("version", 0, Long.MAX_VALUE).orElse(0L);
    long deadline = System.nanoTime() + wait.toNanos();
    Either<CommandError, Document> survey = survey(client, version);
    while (!isEverywhere(survey) && System.nanoTime() < deadline) {
      java.util.concurrent.locks.LockSupport.parkNanos(POLL_PAUSE.toNanos());
      survey = survey(client, version);
    }
    boolean everywhere = isEverywhere(survey);
    return survey.map(
        document -> {
          print(document);
          return everywhere ? ExitCode.DONE : ExitCode.NOT_YET_IN_FORCE;
        });
  }

  private static Either<CommandError, Document> survey(DaemonClient client, long version) {
    return client.ask(HttpRequest.of("GET", "/in-force?version=" + version));
  }

  private static boolean isEverywhere(Either<CommandError, Document> survey) {
    if (survey.isLeft()) {
      return false;
    }
    MappingReader reader = MappingReader.of(survey.get(), new ArrayList<>());
    return reader.number("lagging", 0, Long.MAX_VALUE).orElse(1L) == 0
        && reader.number("silent", 0, Long.MAX_VALUE).orElse(1L) == 0;
  }
}
