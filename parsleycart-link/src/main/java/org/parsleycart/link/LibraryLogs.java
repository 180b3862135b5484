package org.parsleycart.link;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Keeps the logs of libraries to warnings, so that a log shows changes of state. */
public final class LibraryLogs {
  private LibraryLogs() {}

  /** Lets only warnings and errors of libraries through. */
  public static void onlyWarnings() {
    Logger.getLogger("").setLevel(Level.WARNING);
  }
}
