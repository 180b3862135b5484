package org.parsleycart.daemon;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.parsleycart.link.LibraryLogging;
import org.parsleycart.platform.PlatformEnvironment;

/**
 * Runs one daemon as the users' platform starts it: an environment variable names the settings.
 *
 * <p>There are no arguments to parse. The library that parses them for {@link DaemonMain} cannot be
 * kept in a class archive, as its classes have an old format, and took an eighth of the processor
 * time of a start.
 */
public final class PlatformMain {
  private PlatformMain() {}

  // -- start

  /** Runs the daemon and ends the process with its exit code. */
  public static void main(String[] arguments) {
    LibraryLogging.limitToWarnings();
    PrintWriter errors = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    Optional<Path> file = PlatformEnvironment.settingsFile(System.getenv());
    if (file.isEmpty()) {
      errors.println("the variable " + PlatformEnvironment.SETTINGS_FILE + " names no settings");
      System.exit(DaemonProcess.EXIT_INVALID_INPUT);
    }
    System.exit(DaemonProcess.run(file.get(), errors));
  }
}
