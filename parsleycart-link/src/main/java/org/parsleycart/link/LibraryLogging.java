package org.parsleycart.link;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Keeps the logs of libraries to warnings, so that a log shows changes of state. */
public final class LibraryLogging {
  private LibraryLogging() {}

  /** Lets only warnings and errors of libraries through. */
  public static void limitToWarnings() {
    Logger.getLogger("").setLevel(Level.WARNING);
  }
}
