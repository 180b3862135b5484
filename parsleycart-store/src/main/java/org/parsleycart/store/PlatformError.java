package org.parsleycart.store;

/** Why the platform gave no result. None of these says that something is absent. */
public sealed interface PlatformError {

  /** Returns a message for logs and operators. */
  String message();

  /** The request did not reach the platform; it has no effect. */
  record Unreachable(String cause) implements PlatformError {
    @Override
    public String message() {
      return "platform unreachable: " + cause;
    }
  }

  /** The request may have taken effect or not. */
  record NoAnswer(String cause) implements PlatformError {
    @Override
    public String message() {
      return "no answer from the platform: " + cause;
    }
  }

  /** The platform answered what this adapter does not understand. */
  record Unexpected(String cause) implements PlatformError {
    @Override
    public String message() {
      return "unexpected answer from the platform: " + cause;
    }
  }
}
