package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * A message to be sent, as returned by a state machine.
 *
 * @param target the identifier of the receiver, which is its control address
 */
public record OutgoingMessage(String target, ControlMessage message) {

  // -- construction

  public OutgoingMessage {
    requireNonNull(target, "target is null");
    requireNonNull(message, "message is null");
  }
}
