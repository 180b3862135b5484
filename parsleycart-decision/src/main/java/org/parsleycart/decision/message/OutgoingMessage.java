package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * A message that a state machine wants sent.
 *
 * @param target the identifier of the receiver, its control address
 * @param message the message
 */
public record OutgoingMessage(String target, ControlMessage message) {

  // -- construction

  public OutgoingMessage {
    requireNonNull(target, "target is null");
    requireNonNull(message, "message is null");
  }
}
