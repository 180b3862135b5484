package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.parsleycart.decision.message.ConfigurationHead;

/**
 * Records when the local configuration was last confirmed as the newest, by the platform or through
 * a peer. Thread-safe.
 */
public final class Freshness {
  private final AtomicReference<Instant> confirmedAt = new AtomicReference<>(Instant.MIN);

  // -- events

  /** Records that the platform held nothing newer at the given time. */
  public void recordConfirmation(Instant at) {
    requireNonNull(at, "at is null");
    confirmedAt.accumulateAndGet(at, (one, other) -> one.isAfter(other) ? one : other);
  }

  /**
   * Records the confirmation age that a peer reports. It is ignored when the peer holds a newer
   * version than this daemon.
   *
   * @param peerHead the newest version that the peer holds
   * @param age the time since that version was confirmed as the newest, empty when unknown
   * @param ownHead the newest version held by this daemon
   */
  public void recordPeerConfirmation(
      ConfigurationHead peerHead, Optional<Duration> age, ConfigurationHead ownHead, Instant now) {
    requireNonNull(age, "age is null");
    if (!peerHead.isNewerThan(ownHead)) {
      age.ifPresent(elapsed -> recordConfirmation(now.minus(elapsed)));
    }
  }

  // -- queries

  /** Returns the time since the last confirmation, or empty when there was none. */
  public Optional<Duration> confirmationAge(Instant now) {
    requireNonNull(now, "now is null");
    return Optional.of(confirmedAt.get())
        .filter(at -> at.isAfter(Instant.MIN))
        .map(at -> Duration.between(at, now));
  }
}
