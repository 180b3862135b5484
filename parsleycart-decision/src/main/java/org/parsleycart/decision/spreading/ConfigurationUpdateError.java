package org.parsleycart.decision.spreading;

import java.util.List;
import org.parsleycart.model.Violation;
import org.parsleycart.model.document.Problem;

/** The reason why a configuration version did not take effect. */
public sealed interface ConfigurationUpdateError {

  /** Returns a message for logs. */
  String message();

  /** Versions in between are missing. The complete snapshot is needed. */
  record Gap(long expected, long received) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "configuration change received out of order: expected version "
          + expected
          + ", received version "
          + received;
    }
  }

  /** The content does not match the accepted digest. The complete snapshot is needed. */
  record DigestMismatch(long version) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "digest of configuration version " + version + " does not match its content";
    }
  }

  /** The change is not valid on top of the previous version. The complete snapshot is needed. */
  record Invalid(long version, List<Violation> violations) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "configuration version " + version + " is invalid: " + violations;
    }
  }

  /** The bytes are not a valid snapshot. */
  record Unreadable(List<Problem> problems) implements ConfigurationUpdateError {
    @Override
    public String message() {
      return "configuration snapshot cannot be decoded: " + problems;
    }
  }
}
