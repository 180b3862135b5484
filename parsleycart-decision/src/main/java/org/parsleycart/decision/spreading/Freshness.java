package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.parsleycart.decision.message.ConfigurationHead;

/**
 * When the configuration held here was last known to be the newest: from an answer of the platform,
 * or from a peer that heard one. Safe for use by several threads.
 */
public final class Freshness {
  private final AtomicReference<Instant> confirmedAt = new AtomicReference<>(Instant.MIN);

  // -- events

  /** Takes note that the platform had nothing newer at the time. */
  public void recordConfirmation(Instant at) {
    requireNonNull(at, "at is null");
    confirmedAt.accumulateAndGet(at, (one, other) -> one.isAfter(other) ? one : other);
  }

  /**
   * Takes what a peer tells. It counts only when nothing that the peer holds is missing here.
   *
   * @param head the newest version that the peer holds
   * @param age how long ago that was known to be the newest, if the peer knows
   * @param own the newest version held here
   * @param now the time
   */
  public void recordPeerConfirmation(
      ConfigurationHead head, Optional<Duration> age, ConfigurationHead own, Instant now) {
    requireNonNull(age, "age is null");
    if (own.version() >= head.version()) {
      age.ifPresent(since -> recordConfirmation(now.minus(since)));
    }
  }

  // -- queries

  /** Returns how long ago the configuration held here was known to be the newest, if ever. */
  public Optional<Duration> confirmationAge(Instant now) {
    requireNonNull(now, "now is null");
    return Optional.of(confirmedAt.get())
        .filter(at -> at.isAfter(Instant.MIN))
        .map(at -> Duration.between(at, now));
  }
}
