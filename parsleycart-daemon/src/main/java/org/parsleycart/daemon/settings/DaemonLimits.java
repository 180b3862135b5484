package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.platform.PlatformBounds;

/**
 * Bounds of work and memory.
 *
 * @param coldLimit the calls that a cold upstream bears at once
 * @param queueLength the most calls that wait beside one upstream
 * @param connectionsPerTarget the most connections to one upstream or one other daemon
 * @param idleConnections the most idle connections kept in all
 * @param maximumBodyBytes the largest request body
 * @param replayableBodyBytes the largest request body held in memory so that it can be sent again
 * @param inputOutputThreads the threads that carry calls
 * @param drainTimeout how long a planned stop waits for running calls
 * @param graceTime how long a planned stop may take in all, if that is known; goes before the drain
 *     timeout
 * @param trustsSlots whether upstreams bear the slots that they announce from the start
 * @param retriesPerCall the retries that a call to a service earns it
 * @param savedRetries the most retries that a service saves up
 */
public record DaemonLimits(
    int coldLimit,
    int queueLength,
    int connectionsPerTarget,
    int idleConnections,
    long maximumBodyBytes,
    int replayableBodyBytes,
    int inputOutputThreads,
    Duration drainTimeout,
    Optional<Duration> graceTime,
    boolean trustsSlots,
    double retriesPerCall,
    double savedRetries) {
  private static final long MEBIBYTE = 1024 * 1024;
  private static final double DEFAULT_RETRIES_PER_CALL = 0.1;
  private static final double DEFAULT_SAVED_RETRIES = 20;
  private static final double MAXIMUM_SAVED_RETRIES = 10_000;

  // -- construction

  public DaemonLimits {
    requireNonNull(drainTimeout, "drainTimeout is null");
    requireNonNull(graceTime, "graceTime is null");
  }

  /** Reads limits; those that are left out follow the bounds of the deployment, if it sets any. */
  static DaemonLimits from(MappingReader reader, PlatformBounds bounds) {
    DaemonLimits limits =
        new DaemonLimits(
            number(reader, "coldLimit", 1, 10_000, 2),
            number(reader, "queueLength", 0, 10_000, 64),
            number(reader, "connectionsPerTarget", 1, 10_000, 100),
            number(reader, "idleConnections", 1, 10_000, 256),
            reader.number("maximumBodyBytes", 1, 1024 * MEBIBYTE).orElse(16 * MEBIBYTE),
            number(reader, "replayableBodyBytes", 0, (int) MEBIBYTE, 64 * 1024),
            number(reader, "inputOutputThreads", 1, 64, 2),
            reader.duration("drainTimeout").orElse(Duration.ofSeconds(20)),
            reader.duration("graceTime").or(bounds::graceTime),
            reader.flag("trustsSlots").orElse(false),
            reader
                .decimal("retriesPerCall", 0, 1)
                .orElse(bounds.retriesPerCall().orElse(DEFAULT_RETRIES_PER_CALL)),
            reader.decimal("savedRetries", 0, MAXIMUM_SAVED_RETRIES).orElse(DEFAULT_SAVED_RETRIES));
    reader.reportUnknownKeys();
    return limits;
  }

  private static int number(
      MappingReader reader, String key, int minimum, int maximum, int defaultValue) {
    return reader.number(key, minimum, maximum).orElse((long) defaultValue).intValue();
  }
}
