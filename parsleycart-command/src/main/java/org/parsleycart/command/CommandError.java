package org.parsleycart.command;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The reason why a command failed.
 *
 * @param message one line that names the failure
 * @param details further lines, printed below the message
 */
record CommandError(ExitCode exitCode, String message, List<String> details) {

  CommandError {
    requireNonNull(exitCode, "exitCode is null");
    requireNonNull(message, "message is null");
    details = List.copyOf(details);
  }
}
