package org.parsleycart.decision.protection;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What one connection holds at a daemon.
 *
 * @param phase whose turn it is on the connection
 * @param heldBytes the bytes that are held for the connection
 * @param withoutProgress how long the client has not made the minimum progress
 */
public record ConnectionUsage(Phase phase, long heldBytes, Duration withoutProgress) {

  /** Whose turn it is on a connection. */
  public enum Phase {
    /** The client has sent nothing yet. */
    UNUSED(false),
    /** The client has to send more of the head of a request. */
    HEAD(true),
    /** No request is in progress. Timeouts of the listener apply. */
    IDLE(false),
    /** The daemon has the request, and the client waits. */
    SERVED(false),
    /** The client has to send more of a body. */
    SENDING(true),
    /** The client has to read more of a response. */
    READING(true);

    private final boolean isClientAwaited;

    Phase(boolean isClientAwaited) {
      this.isClientAwaited = isClientAwaited;
    }

    /** Returns whether nothing can go on until the client does something. */
    public boolean isClientAwaited() {
      return isClientAwaited;
    }
  }

  // -- construction

  public ConnectionUsage {
    requireNonNull(phase, "phase is null");
    requireNonNull(withoutProgress, "withoutProgress is null");
  }

  // -- queries

  /** Returns whether the client is awaited and has made too little progress for the given time. */
  boolean isStalledFor(Duration time) {
    return phase.isClientAwaited() && withoutProgress.compareTo(time) >= 0;
  }

  /** Returns whether the client has sent nothing for the given time since it connected. */
  boolean isUnusedFor(Duration time) {
    return phase == Phase.UNUSED && withoutProgress.compareTo(time) >= 0;
  }

  /** Returns what the connection costs: the bytes that it holds, by the time that they are idle. */
  double cost() {
    // A connection without bytes still holds its descriptor and its place in the queues.
    return (1.0 + heldBytes) * withoutProgress.toMillis();
  }
}
