package org.parsleycart.link;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the log output of libraries. */
public final class LibraryLogging {
  private LibraryLogging() {}

  /**
   * Suppresses log messages of libraries below the warning level, so that the log shows changes of
   * state.
   */
  public static void limitToWarnings() {
    Logger.getLogger("").setLevel(Level.WARNING);
  }
}
