package org.parsleycart.decision.spreading;

import java.util.List;
import org.parsleycart.model.Violation;
import org.parsleycart.model.document.Problem;

/** Why a version did not take effect. */
public sealed interface ConfigurationUpdateError {

  /** Returns a message for logs. */
  String message();

  /** Versions between are missing; the whole snapshot is needed. */
  record Gap(long expected, long received) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "expected version " + expected + " and received " + received;
    }
  }

  /** The content does not give the digest that was accepted; the whole snapshot is needed. */
  record DigestMismatch(long version) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "digest of version " + version + " does not match";
    }
  }

  /** The change does not fit the version below it; the whole snapshot is needed. */
  record Invalid(long version, List<Violation> violations) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "version " + version + " is invalid: " + violations;
    }
  }

  /** The bytes are no snapshot. */
  record Unreadable(List<Problem> problems) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "unreadable snapshot: " + problems;
    }
  }
}
