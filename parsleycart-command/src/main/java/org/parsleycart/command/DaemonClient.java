package org.parsleycart.command;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.YamlDocuments;

/**
 * Sends each request to the daemons in turn, until one answers without a server error.
 *
 * <p>A request that makes a change carries a change identifier. Sending it again to the next daemon
 * therefore does not apply the change twice.
 */
final class DaemonClient implements AutoCloseable {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNPROCESSABLE_CONTENT = 422;
  private static final int FIRST_SERVER_ERROR = 500;

  private final HttpClient client;
  private final List<String> daemons;
  private final Duration timeout;

  // -- construction

  DaemonClient(List<String> daemons, Duration timeout) {
    this.client = HttpClient.start(1);
    this.daemons = List.copyOf(daemons);
    this.timeout = requireNonNull(timeout, "timeout is null");
  }

  // -- operations

  /** Returns the answer with status 200, or an error if all daemons failed or one refused. */
  Either<CommandError, HttpResponse> send(HttpRequest request) {
    List<String> failures = new ArrayList<>();
    Optional<ExitCode> exitCode = Optional.empty();
    for (String daemon : daemons) {
      Either<LinkError, HttpResponse> answer = client.send(daemon, request, timeout);
      if (answer.isRight() && answer.get().status() < FIRST_SERVER_ERROR) {
        return toResult(answer.get());
      }
      exitCode = exitCode.or(() -> answer.toJavaOptional().flatMap(DaemonClient::exitCodeByReason));
      failures.add(
          answer.fold(
              LinkError::message,
              failed -> daemon + ": status " + failed.status() + " " + failed.text()));
    }
    return Either.left(
        new CommandError(
            exitCode.orElse(ExitCode.UNREACHABLE),
            "none of the " + daemons.size() + " daemons answered without an error",
            failures));
  }

  /** Sends a request and parses the answer. */
  Either<CommandError, Document> requestDocument(HttpRequest request) {
    return send(request)
        .flatMap(
            answer ->
                YamlDocuments.parse("answer", answer.text())
                    .mapLeft(
                        problems ->
                            new CommandError(
                                ExitCode.UNREACHABLE,
                                "answer of the daemon cannot be parsed: " + problems,
                                List.of())));
  }

  private static Either<CommandError, HttpResponse> toResult(HttpResponse answer) {
    if (answer.status() == OK) {
      return Either.right(answer);
    }
    boolean badInput = answer.status() == BAD_REQUEST || answer.status() == UNPROCESSABLE_CONTENT;
    ExitCode exitCode =
        exitCodeByReason(answer).orElse(badInput ? ExitCode.BAD_INPUT : ExitCode.REFUSED);
    return YamlDocuments.parse("answer", answer.text())
        .fold(
            problems -> Either.left(new CommandError(exitCode, answer.text(), List.of())),
            document -> Either.left(toError(exitCode, document)));
  }

  private static Optional<ExitCode> exitCodeByReason(HttpResponse answer) {
    return YamlDocuments.parse("answer", answer.text())
        .toJavaOptional()
        .flatMap(document -> MappingReader.of(document, new ArrayList<>()).text("reason"))
        .flatMap(RefusalReason::ofLabel)
        .flatMap(ExitCode::ofReason);
  }

  private static CommandError toError(ExitCode exitCode, Document document) {
    MappingReader reader = MappingReader.of(document, new ArrayList<>());
    return new CommandError(
        exitCode,
        reader.text("error").orElse("request refused by the daemon without a reason"),
        reader.textItems("details"));
  }

  @Override
  public void close() {
    client.close();
  }
}
