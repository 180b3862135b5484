package org.parsleycart.store;

/** The reason why the platform returned no result. No error means that an item does not exist. */
public sealed interface PlatformError {

  /** Returns a message for logs and operators. */
  String message();

  /** The request did not reach the platform and has no effect. */
  record Unreachable(String cause) implements PlatformError {
    @Override
    public String message() {
      return "platform unreachable: " + cause;
    }
  }

  /** The request may or may not have taken effect. */
  record NoAnswer(String cause) implements PlatformError {
    @Override
    public String message() {
      return "no answer from the platform: " + cause;
    }
  }

  /** The platform returned an answer that cannot be interpreted. */
  record Unexpected(String cause) implements PlatformError {
    @Override
    public String message() {
      return "unexpected answer from the platform: " + cause;
    }
  }
}
