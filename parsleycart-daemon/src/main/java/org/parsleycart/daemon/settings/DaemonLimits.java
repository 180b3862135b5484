package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.model.document.MappingReader;

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
 */
public record DaemonLimits(
    int coldLimit,
    int queueLength,
    int connectionsPerTarget,
    int idleConnections,
    long maximumBodyBytes,
    int replayableBodyBytes,
    int inputOutputThreads,
    Duration drainTimeout) {
  private static final long MEBIBYTE = 1024 * 1024;

  // -- construction

  public DaemonLimits {
    requireNonNull(drainTimeout, "drainTimeout is null");
  }

  static DaemonLimits from(MappingReader reader) {
    DaemonLimits limits =
        new DaemonLimits(
            number(reader, "coldLimit", 1, 10_000, 2),
            number(reader, "queueLength", 0, 10_000, 64),
            number(reader, "connectionsPerTarget", 1, 10_000, 100),
            number(reader, "idleConnections", 1, 10_000, 256),
            reader.number("maximumBodyBytes", 1, 1024 * MEBIBYTE).orElse(16 * MEBIBYTE),
            number(reader, "replayableBodyBytes", 0, (int) MEBIBYTE, 64 * 1024),
            number(reader, "inputOutputThreads", 1, 64, 2),
            reader.duration("drainTimeout").orElse(Duration.ofSeconds(20)));
    reader.finish();
    return limits;
  }

  private static int number(
      MappingReader reader, String key, int minimum, int maximum, int otherwise) {
    return reader.number(key, minimum, maximum).orElse((long) otherwise).intValue();
  }
}
