package org.parsleycart.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;

/** Reads and parses the configuration files named on the command line. */
final class InputFile {
  private InputFile() {}

  static Either<CommandError, String> read(Path file) {
    try {
      return Either.right(Files.readString(file));
    } catch (IOException e) {
      return Either.left(
          new CommandError(ExitCode.BAD_INPUT, file + " cannot be read: " + e, List.of()));
    }
  }

  /** Parses a configuration file. Rules across resources are checked by the daemon, not here. */
  static Either<CommandError, ConfigurationChange> parseChange(Path file, String text) {
    return parse(file, text)
        .flatMap(
            document ->
                ConfigurationChange.from(document, "unnamed", "operator")
                    .mapLeft(InputFile::toError));
  }

  static Either<CommandError, Document> parse(Path file, String text) {
    return YamlDocuments.parse(file.toString(), text).mapLeft(InputFile::toError);
  }

  static CommandError toError(List<Problem> problems) {
    return new CommandError(
        ExitCode.BAD_INPUT,
        "configuration file rejected, number of problems: " + problems.size(),
        problems.stream().map(Problem::toString).toList());
  }
}
