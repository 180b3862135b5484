package org.parsleycart.daemon;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.parsleycart.link.LibraryLogging;
import org.parsleycart.platform.PlatformEnvironment;

/**
 * Runs one daemon on the platform, which passes the path of the settings file in an environment
 * variable.
 *
 * <p>There are no command-line arguments. The library that parses them for {@link DaemonMain} has
 * classes in an old format that a class archive cannot hold. Loading them took an eighth of the
 * processor time of a start.
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
      errors.println(
          "environment variable "
              + PlatformEnvironment.SETTINGS_FILE
              + " does not name a settings file");
      System.exit(DaemonProcess.EXIT_INVALID_INPUT);
    }
    System.exit(DaemonProcess.run(file.get(), errors));
  }
}
