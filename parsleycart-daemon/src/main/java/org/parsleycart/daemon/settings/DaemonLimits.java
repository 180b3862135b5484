package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.parsleycart.decision.routing.Balancing;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.platform.PlatformBounds;

/**
 * The limits on concurrent work, memory and retries.
 *
 * @param coldLimit the maximum number of concurrent calls to a cold upstream
 * @param queueLength the maximum number of calls that wait for one upstream
 * @param connectionsPerTarget the maximum number of connections to one upstream or one other daemon
 * @param idleConnections the maximum number of idle connections in total
 * @param maximumBodyBytes the largest request body
 * @param replayableBodyBytes the largest request body held in memory so that it can be sent again
 * @param inputOutputThreads the number of threads that transfer calls
 * @param drainTimeout how long a graceful shutdown waits for running calls
 * @param graceTime how long a graceful shutdown may take in total, if known; takes precedence over
 *     the drain timeout
 * @param trustsSlots whether the slots that an upstream announces are its concurrency limit from
 *     the start
 * @param retriesPerCall the retries that each call to a service adds to the retry budget of the
 *     service
 * @param savedRetries the maximum retry budget that a service can accumulate
 * @param balancing how calls are balanced between upstreams
 * @param linkMegabitsPerSecond the rate of the link of the VM, empty if it does not limit calls
 * @param protection the limits on what clients may hold
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
    double savedRetries,
    Balancing balancing,
    OptionalDouble linkMegabitsPerSecond,
    ProtectionSettings protection) {
  private static final long MEBIBYTE = 1024 * 1024;
  private static final double DEFAULT_RETRIES_PER_CALL = 0.1;
  private static final double DEFAULT_SAVED_RETRIES = 20;
  private static final double MAXIMUM_SAVED_RETRIES = 10_000;
  private static final double MAXIMUM_LINK_MEGABITS = 1_000_000;
  private static final double BYTES_PER_MEGABIT = 125_000;

  // -- construction

  public DaemonLimits {
    requireNonNull(drainTimeout, "drainTimeout is null");
    requireNonNull(graceTime, "graceTime is null");
    requireNonNull(balancing, "balancing is null");
    requireNonNull(linkMegabitsPerSecond, "linkMegabitsPerSecond is null");
    requireNonNull(protection, "protection is null");
  }

  /**
   * Reads the limits. The defaults of the grace time and of the retries per call are the bounds of
   * the deployment, if it sets any.
   */
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
            reader.decimal("savedRetries", 0, MAXIMUM_SAVED_RETRIES).orElse(DEFAULT_SAVED_RETRIES),
            balancing(reader),
            linkMegabitsPerSecond(reader),
            ProtectionSettings.from(reader));
    reader.reportUnknownKeys();
    return limits;
  }

  private static OptionalDouble linkMegabitsPerSecond(MappingReader reader) {
    return reader.decimal("linkMegabitsPerSecond", 0, MAXIMUM_LINK_MEGABITS).stream()
        .filter(rate -> rate > 0)
        .findFirst();
  }

  private static Balancing balancing(MappingReader reader) {
    Optional<String> label = reader.text("balancing");
    Optional<Balancing> balancing = label.flatMap(Balancing::ofLabel);
    if (label.isPresent() && balancing.isEmpty()) {
      reader.report("balancing", "\"" + label.get() + "\"", "two-choices or expected-end");
    }
    return balancing.orElse(Balancing.TWO_CHOICES);
  }

  private static int number(
      MappingReader reader, String key, int minimum, int maximum, int defaultValue) {
    return reader.number(key, minimum, maximum).orElse((long) defaultValue).intValue();
  }

  // -- queries

  /** Returns the rate of the link in bytes per second, empty if it does not limit calls. */
  public OptionalLong linkBytesPerSecond() {
    return linkMegabitsPerSecond.stream()
        .mapToLong(rate -> (long) (rate * BYTES_PER_MEGABIT))
        .findFirst();
  }
}
