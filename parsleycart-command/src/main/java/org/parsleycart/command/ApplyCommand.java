package org.parsleycart.command;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.parsleycart.link.http.HttpRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sends a configuration file to a daemon as one change. */
@Command(
    name = "apply",
    description = "Applies all changes of a configuration file, or none of them.",
    mixinStandardHelpOptions = true)
final class ApplyCommand extends DaemonCommand {

  @Parameters(paramLabel = "FILE", description = "The YAML file.")
  private Path file;

  @Option(
      names = "--wait",
      description = "Longest time to wait until it is in force everywhere (default: no wait).")
  private Optional<Duration> wait = Optional.empty();

  @Option(
      names = "--based-on",
      paramLabel = "VERSION",
      description = "Refuse the change if one of its resources was changed after this version.")
  private Optional<Long> basedOn = Optional.empty();

  @Override
  Either<CommandError, ExitCode> run(DaemonClient client) {
    return InputFile.read(file)
        .flatMap(text -> InputFile.parseChange(file, text).map(change -> text))
        .flatMap(text -> client.requestDocument(HttpRequest.of("POST", requestPath()).body(text)))
        .flatMap(
            accepted ->
                wait.isPresent()
                    ? awaitInForce(client, accepted, wait.get())
                    : Either.right(print(accepted)));
  }

  private String requestPath() {
    String base = basedOn.map(version -> "&basedOn=" + version).orElse("");
    return "/changes" + changeQuery() + base + "&source=" + encode(file.toString());
  }
}
