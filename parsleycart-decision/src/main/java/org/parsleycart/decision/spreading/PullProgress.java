package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * How far the pull in flight has come. A daemon that is behind reads the platform only when its
 * pulls make no progress: the read would compete with the pull for the same link and processor, and
 * delay both. Thread-safe.
 */
public final class PullProgress {

  /** The stages of a pull. */
  public enum Stage {
    /** No pull is in flight, or its connection is not established. */
    WAITING(Duration.ofMillis(300)),
    /** A peer has accepted the connection, and its answer has not arrived. */
    RECEIVING(Duration.ofSeconds(1)),
    /** The answer has arrived and is being applied, which takes as long as applying a read. */
    APPLYING(Duration.ofSeconds(5));

    private final Duration patience;

    Stage(Duration patience) {
      this.patience = patience;
    }

    /** Returns whether the stage has lasted so long that the pull may have failed. */
    boolean isStalled(Duration elapsed) {
      return elapsed.compareTo(patience) > 0;
    }
  }

  private record Current(Stage stage, Instant since) {}

  private volatile Current current = new Current(Stage.WAITING, Instant.MIN);

  // -- events

  /** Records that a pull has entered a stage. */
  public void enter(Stage stage, Instant now) {
    current = new Current(requireNonNull(stage, "stage is null"), now);
  }

  // -- queries

  /**
   * Returns whether a daemon that is behind gets nothing from its peers.
   *
   * @param behindSince since when a peer has been known to hold a newer version, empty if none is
   */
  public boolean isStalled(Optional<Instant> behindSince, Instant now) {
    requireNonNull(behindSince, "behindSince is null");
    Current latest = current;
    return behindSince
        .map(behind -> behind.isAfter(latest.since()) ? behind : latest.since())
        .filter(since -> latest.stage().isStalled(Duration.between(since, now)))
        .isPresent();
  }
}
