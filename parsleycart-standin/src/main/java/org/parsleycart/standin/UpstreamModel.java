package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A model of an upstream under load. Its capacity grows to its number of slots after a cold start,
 * during which calls also take longer. Latency rises with the square of the load above capacity,
 * and calls fail above twice the capacity.
 */
public final class UpstreamModel {
  private static final double COLD_CAPACITY_SHARE = 0.1;
  private static final double COLD_LATENCY_FACTOR = 3;
  private static final double OVERLOAD_FACTOR = 2;

  private final int slots;
  private final Duration latency;
  private final Duration warmUp;
  private final InstantSource clock;
  private Instant coldSince;
  private int running;
  private long coldOverloads;

  /**
   * The outcome of one call.
   *
   * @param latency the time until the upstream answers
   * @param failed whether the upstream answers with a failure
   */
  public record Treatment(Duration latency, boolean failed) {}

  // -- construction

  /**
   * Creates a model that starts cold.
   *
   * @param slots the number of concurrent calls at full capacity
   * @param latency the time for a call when warm and not overloaded
   * @param warmUp the time from a cold start to full capacity, zero for none
   */
  public UpstreamModel(int slots, Duration latency, Duration warmUp, InstantSource clock) {
    this.slots = slots;
    this.latency = requireNonNull(latency, "latency is null");
    this.warmUp = requireNonNull(warmUp, "warmUp is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.coldSince = clock.instant();
  }

  // -- events

  /** Starts a call and returns its outcome at the present load. */
  public synchronized Treatment start() {
    running++;
    double capacity = capacity();
    double load = running / capacity;
    if (load > OVERLOAD_FACTOR && capacity < slots) {
      coldOverloads++;
    }
    double factor = Math.max(1, load * load) * coldFactor();
    Duration requiredTime = Duration.ofNanos((long) (latency.toNanos() * factor));
    return new Treatment(requiredTime, load > OVERLOAD_FACTOR);
  }

  /** Ends a call. */
  public synchronized void end() {
    running--;
  }

  /** Resets the warm-up, as after a restart of the process. */
  public synchronized void restartWarmUp() {
    coldSince = clock.instant();
  }

  // -- queries

  /** Returns the number of concurrent calls that the upstream handles now, at least 1. */
  public synchronized double capacity() {
    return Math.max(
        1, slots * (COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * warmUpProgress()));
  }

  /** Returns the number of calls that failed from overload while capacity was reduced. */
  public synchronized long coldOverloads() {
    return coldOverloads;
  }

  /** Returns the number of calls in progress. */
  public synchronized int running() {
    return running;
  }

  private double warmUpProgress() {
    if (warmUp.isZero()) {
      return 1;
    }
    double age = Duration.between(coldSince, clock.instant()).toNanos();
    return Math.min(1, age / warmUp.toNanos());
  }

  private double coldFactor() {
    return COLD_LATENCY_FACTOR - (COLD_LATENCY_FACTOR - 1) * warmUpProgress();
  }
}
