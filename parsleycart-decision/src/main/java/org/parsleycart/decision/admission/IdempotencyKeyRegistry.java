package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Registers the idempotency keys of requests that may have run, so that no request runs twice
 * through this registry. Thread-safe.
 */
public final class IdempotencyKeyRegistry {
  private final InstantSource clock;
  private final Duration retention;
  private final int capacity;
  private final Map<String, Instant> claimTimeByKey = new LinkedHashMap<>();

  /** The result of claiming a key. */
  public enum Claim {
    /** The key is new; the request may run. */
    GRANTED,
    /** The key was claimed before; the request may have run. */
    DUPLICATE,
    /** The caller declares a repeat of a key that is not registered; the request may have run. */
    UNKNOWN_REPEAT,
    /** The registry is full; the request must not run. */
    FULL
  }

  // -- construction

  /**
   * Creates an empty registry.
   *
   * @param retention how long a key stays registered
   * @param capacity the maximum number of registered keys
   */
  public IdempotencyKeyRegistry(InstantSource clock, Duration retention, int capacity) {
    this.clock = requireNonNull(clock, "clock is null");
    this.retention = requireNonNull(retention, "retention is null");
    this.capacity = capacity;
  }

  // -- events

  /**
   * Claims a key for a request that is about to run.
   *
   * @param isDeclaredRepeat whether the caller declares that it has sent the key before
   */
  public synchronized Claim claim(String key, boolean isDeclaredRepeat) {
    requireNonNull(key, "key is null");
    Instant now = clock.instant();
    removeExpired(now);
    if (claimTimeByKey.containsKey(key)) {
      return Claim.DUPLICATE;
    }
    if (isDeclaredRepeat) {
      return Claim.UNKNOWN_REPEAT;
    }
    if (claimTimeByKey.size() >= capacity) {
      return Claim.FULL;
    }
    claimTimeByKey.put(key, now);
    return Claim.GRANTED;
  }

  /**
   * Releases a claimed key because no byte of its request reached an upstream, so that the key can
   * be claimed again.
   */
  public synchronized void release(String key) {
    claimTimeByKey.remove(requireNonNull(key, "key is null"));
  }

  private void removeExpired(Instant now) {
    Iterator<Instant> oldestFirst = claimTimeByKey.values().iterator();
    boolean isExpired = true;
    while (isExpired && oldestFirst.hasNext()) {
      isExpired = oldestFirst.next().plus(retention).isBefore(now);
      if (isExpired) {
        oldestFirst.remove();
      }
    }
  }
}
