package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * How an upstream bears load: a number of slots that it grows into after a cold start, latency that
 * rises when more calls run than it bears, and failure when there are far more.
 */
public final class UpstreamModel {
  private static final double COLD_SHARE = 0.1;
  private static final double COLD_LATENCY_FACTOR = 3;
  private static final double FALL_OVER_FACTOR = 2;

  private final int slots;
  private final Duration latency;
  private final Duration warmUp;
  private final InstantSource clock;
  private Instant coldSince;
  private int running;
  private long coldOverloads;

  /**
   * How the upstream takes one call.
   *
   * @param latency the time that it needs
   * @param failed whether it answers with a failure
   */
  public record Treatment(Duration latency, boolean failed) {}

  // -- construction

  /** Creates a cold upstream. */
  public UpstreamModel(int slots, Duration latency, Duration warmUp, InstantSource clock) {
    this.slots = slots;
    this.latency = requireNonNull(latency, "latency is null");
    this.warmUp = requireNonNull(warmUp, "warmUp is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.coldSince = clock.instant();
  }

  // -- events

  /** Starts a call. */
  public synchronized Treatment start() {
    running++;
    double bears = bears();
    double load = running / bears;
    if (load > FALL_OVER_FACTOR && bears < slots) {
      coldOverloads++;
    }
    double factor = Math.max(1, load * load) * coldFactor();
    Duration needed = Duration.ofNanos((long) (latency.toNanos() * factor));
    return new Treatment(needed, load > FALL_OVER_FACTOR);
  }

  /** Ends a call. */
  public synchronized void end() {
    running--;
  }

  /** Turns cold at once. */
  public synchronized void turnCold() {
    coldSince = clock.instant();
  }

  // -- queries

  /** Returns the calls that it bears now. */
  public synchronized double bears() {
    return Math.max(1, slots * (COLD_SHARE + (1 - COLD_SHARE) * warmth()));
  }

  /** Returns how many calls came while it was cold and had far too many. */
  public synchronized long coldOverloads() {
    return coldOverloads;
  }

  /** Returns the calls that run now. */
  public synchronized int running() {
    return running;
  }

  private double warmth() {
    if (warmUp.isZero()) {
      return 1;
    }
    double age = Duration.between(coldSince, clock.instant()).toNanos();
    return Math.min(1, age / warmUp.toNanos());
  }

  private double coldFactor() {
    return COLD_LATENCY_FACTOR - (COLD_LATENCY_FACTOR - 1) * warmth();
  }
}
