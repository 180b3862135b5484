package org.parsleycart.bench;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that a trial advances. */
final class TrialClock implements InstantSource {
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  void advance(Duration duration) {
    now = now.plus(duration);
  }

  void advanceTo(Instant instant) {
    now = instant;
  }

  @Override
  public Instant instant() {
    return now;
  }
}
