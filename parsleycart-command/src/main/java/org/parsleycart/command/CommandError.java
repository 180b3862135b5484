package org.parsleycart.command;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Why a command did not do what it was asked.
 *
 * @param exitCode the exit code
 * @param message one line for the operator
 * @param details more lines
 */
record CommandError(ExitCode exitCode, String message, List<String> details) {

  CommandError {
    requireNonNull(exitCode, "exitCode is null");
    requireNonNull(message, "message is null");
    details = List.copyOf(details);
  }
}
