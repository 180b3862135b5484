package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the idempotency keys of requests that may have run, so that none runs a second time
 * here. Safe for use by several threads.
 */
public final class IdempotencyKeyRegistry {
  private final InstantSource clock;
  private final Duration retention;
  private final int capacity;
  private final Map<String, Instant> claimTimeByKey = new LinkedHashMap<>();

  /** What is known of a key. */
  public enum Claim {
    /** The key is new here; the request may run. */
    GRANTED,
    /** The key was claimed before; the request may have run. */
    DUPLICATE,
    /** The caller says that it repeats the key, and nothing is remembered of it. */
    UNKNOWN_REPEAT,
    /** No more keys can be remembered; the request must not run. */
    FULL
  }

  // -- construction

  /**
   * Creates an empty memory.
   *
   * @param clock the time
   * @param kept how long a key is remembered
   * @param capacity the most keys remembered
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
   * @param key the key
   * @param saidToRepeat whether the caller says that it sent the key before
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

  /** Gives a key back, as no byte of its request reached an upstream. */
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
