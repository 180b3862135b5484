package org.parsleycart.store;

import java.util.List;
import org.parsleycart.model.Violation;

/** The reason why a change was not accepted. */
public sealed interface AcceptanceError {

  /** Returns a message for operators. */
  String message();

  /** The resulting configuration would violate rules; the change was not applied. */
  record Invalid(List<Violation> violations) implements AcceptanceError {
    @Override
    public String message() {
      return "change not applied: it violates " + violations.size() + " rules";
    }
  }

  /** Another change was accepted first; this change was not applied. */
  record Conflict(long version, String cause) implements AcceptanceError {
    @Override
    public String message() {
      return "change not applied: it conflicts with version " + version + ": " + cause;
    }
  }

  /** The platform cannot be used; the change was not applied. */
  record Unavailable(PlatformError error) implements AcceptanceError {
    @Override
    public String message() {
      return "change not applied: " + error.message();
    }
  }

  /**
   * The change may have been accepted; repeating it with the same identifier settles the outcome.
   */
  record Unknown(String changeIdentifier, PlatformError error) implements AcceptanceError {
    @Override
    public String message() {
      return "change may have been accepted; repeat it with the identifier "
          + changeIdentifier
          + ": "
          + error.message();
    }
  }
}
