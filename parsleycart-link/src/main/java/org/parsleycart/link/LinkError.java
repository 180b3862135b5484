package org.parsleycart.link;

/** The reason why a message could not be exchanged with another process. */
public sealed interface LinkError {

  /** Returns a message for logs. */
  String message();

  /** No connection was established; the other side has not received the message. */
  record Unreachable(String address, String cause) implements LinkError {
    @Override
    public String message() {
      return address + " is unreachable: " + cause;
    }
  }

  /** The connection failed or timed out; the other side may have processed the message. */
  record NoAnswer(String address, String cause) implements LinkError {
    @Override
    public String message() {
      return "no answer from " + address + ": " + cause;
    }
  }

  /** The bytes are not a message of this protocol or not signed with an accepted key. */
  record Rejected(String cause) implements LinkError {
    @Override
    public String message() {
      return "rejected message: " + cause;
    }
  }
}
