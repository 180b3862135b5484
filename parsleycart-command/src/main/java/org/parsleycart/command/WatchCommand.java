package org.parsleycart.command;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints events of one daemon as they happen. */
@Command(
    name = "watch",
    description = "Prints state changes of versions, zones and rollouts as they happen.",
    mixinStandardHelpOptions = true)
final class WatchCommand extends DaemonCommand {
  private static final Duration MAXIMUM_POLL_WAIT = Duration.ofSeconds(4);

  @Option(
      names = "--for",
      paramLabel = "DURATION",
      description = "Stop after this time (default: never).")
  private Optional<Duration> duration = Optional.empty();

  @Option(
      names = "--until",
      paramLabel = "KIND",
      description = "Stop after an event of this kind, such as rollout-done or zone-returned.")
  private Optional<String> until = Optional.empty();

  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    long start = System.nanoTime();
    long lastEvent = 0;
    boolean isFound = false;
    while (!isFound && !isOver(start)) {
      String path = "/events?after=" + lastEvent + "&wait=" + MAXIMUM_POLL_WAIT.toMillis();
      Either<CommandError, Document> events = client.requestDocument(HttpRequest.of("GET", path));
      if (events.isLeft()) {
        return Either.left(events.getLeft());
      }
      MappingReader reader = MappingReader.of(events.get(), new ArrayList<>());
      lastEvent = reader.number("last", 0, Long.MAX_VALUE).orElse(lastEvent);
      isFound = printEvents(reader);
    }
    return Either.right(isFound || until.isEmpty() ? ExitCode.DONE : ExitCode.NOT_YET_IN_FORCE);
  }

  private boolean isOver(long start) {
    return duration.isPresent() && System.nanoTime() - start > duration.get().toNanos();
  }

  /** Prints all events; returns whether one of them has the kind to stop at. */
  private boolean printEvents(MappingReader reader) {
    return reader
        .items(
            "events",
            event -> {
              print(event);
              Optional<String> kind = MappingReader.of(event, new ArrayList<>()).text("kind");
              return until.isPresent() && until.equals(kind);
            })
        .contains(true);
  }
}
