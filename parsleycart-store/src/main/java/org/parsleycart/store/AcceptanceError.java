package org.parsleycart.store;

import java.util.List;
import org.parsleycart.model.Violation;

/** Why a change was not accepted. */
public sealed interface AcceptanceError {

  /** Returns a message for operators. */
  String message();

  /** The configuration that would result breaks rules; nothing has changed. */
  record Invalid(List<Violation> violations) implements AcceptanceError {
    @Override
    public String message() {
      return "the change breaks " + violations.size() + " rules";
    }
  }

  /** Another change won; nothing of this one has changed. */
  record Conflict(long version, String cause) implements AcceptanceError {
    @Override
    public String message() {
      return "lost to version " + version + ": " + cause;
    }
  }

  /** The platform cannot be reached; nothing has changed. */
  record Unavailable(PlatformError error) implements AcceptanceError {
    @Override
    public String message() {
      return "nothing has changed: " + error.message();
    }
  }

  /** The change may have been accepted; a repeat with the same identifier finds out. */
  record Unknown(String changeIdentifier, PlatformError error) implements AcceptanceError {
    @Override
    public String message() {
      return "unknown whether accepted, repeat with change "
          + changeIdentifier
          + ": "
          + error.message();
    }
  }
}
