package org.parsleycart.link;

/** Why a message did not get through a link. */
public sealed interface LinkError {

  /** Returns a message for logs. */
  String message();

  /** No connection came about; the other side has seen nothing. */
  record Unreachable(String address, String cause) implements LinkError {
    @Override
    public String message() {
      return address + " is unreachable: " + cause;
    }
  }

  /** The connection broke or timed out; the other side may have acted. */
  record NoAnswer(String address, String cause) implements LinkError {
    @Override
    public String message() {
      return "no answer from " + address + ": " + cause;
    }
  }

  /** The bytes are no message of this protocol, or were not signed with an accepted key. */
  record Rejected(String cause) implements LinkError {
    @Override
    public String message() {
      return "rejected message: " + cause;
    }
  }
}
