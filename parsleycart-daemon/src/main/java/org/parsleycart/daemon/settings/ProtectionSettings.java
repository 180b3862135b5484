package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.decision.protection.ProtectionLimits;
import org.parsleycart.model.document.MappingReader;

/**
 * The limits on what the clients of a daemon may hold.
 *
 * @param descriptors the descriptors that the process may open
 * @param callerConnections the connections of callers
 * @param daemonConnections the connections of other daemons
 * @param operatorConnections the connections to the addresses for operators and readiness
 * @param pipelinedRequests how many pipelined requests are handled at once
 * @param headerFields the fields of a request
 * @param heldBytes the heap that heads and bodies of requests, and responses that the daemon makes
 *     itself, may occupy together for all clients, in bytes
 * @param bufferBytes the buffers that all clients may hold together, in bytes; direct memory as far
 *     as there is enough
 * @param stallTime how long a client may be without progress when many are
 * @param maximumStallTime how long a client may be without progress
 * @param stalledConnections how many clients may be without progress for the stall time
 */
public record ProtectionSettings(
    int descriptors,
    int callerConnections,
    int daemonConnections,
    int operatorConnections,
    int pipelinedRequests,
    int headerFields,
    long heldBytes,
    long bufferBytes,
    Duration stallTime,
    Duration maximumStallTime,
    int stalledConnections) {
  /**
   * For files, the control port, and connections to upstreams, other daemons and the platform. The
   * deployments open up to 200 files.
   */
  private static final int RESERVED_DESCRIPTORS = 700;

  /** Longer than the time that deployments give a caller for a head, 3 s. */
  private static final Duration DEFAULT_STALL_TIME = Duration.ofSeconds(4);

  private static final long MINIMUM_BUFFER_BYTES = 256 * 1024;
  private static final long MEBIBYTE = 1024 * 1024;

  // -- construction

  public ProtectionSettings {
    requireNonNull(stallTime, "stallTime is null");
    requireNonNull(maximumStallTime, "maximumStallTime is null");
  }

  static ProtectionSettings from(MappingReader reader) {
    ProtectionSettings settings =
        new ProtectionSettings(
            number(reader, "descriptors", 1_000, 1_000_000, 4_100),
            number(reader, "callerConnections", 1, 1_000_000, 2_000),
            number(reader, "daemonConnections", 1, 1_000_000, 900),
            number(reader, "operatorConnections", 1, 1_000_000, 500),
            number(reader, "pipelinedRequests", 1, 10_000, 32),
            number(reader, "headerFields", 1, 10_000, 200),
            reader.number("heldBytes", MEBIBYTE, 1024 * MEBIBYTE).orElseGet(HeldMemory::heapBytes),
            reader
                .number("bufferBytes", MINIMUM_BUFFER_BYTES, 1024 * MEBIBYTE)
                .orElseGet(HeldMemory::bufferBytes),
            reader.duration("stallTime").orElse(DEFAULT_STALL_TIME),
            reader.duration("maximumStallTime").orElse(Duration.ofSeconds(15)),
            number(reader, "stalledConnections", 0, 1_000_000, 16));
    settings.check(reader);
    return settings;
  }

  private void check(MappingReader reader) {
    int total = callerConnections + daemonConnections + operatorConnections;
    if (total > descriptors - RESERVED_DESCRIPTORS) {
      reader.report(
          "descriptors",
          descriptors + " descriptors for " + total + " connections",
          "at least " + RESERVED_DESCRIPTORS + " more than all connections together");
    }
    checkAtMost(reader, "heldBytes", heldBytes, HeldMemory.maximumHeapBytes());
    checkAtMost(reader, "bufferBytes", bufferBytes, HeldMemory.maximumBufferBytes());
    if (maximumStallTime.compareTo(stallTime) < 0) {
      reader.report(
          "maximumStallTime",
          maximumStallTime.toMillis() + " ms",
          "at least stallTime, " + stallTime.toMillis() + " ms");
    }
  }

  private static void checkAtMost(MappingReader reader, String key, long bytes, long maximum) {
    if (bytes > maximum) {
      reader.report(
          key, bytes + " bytes", "at most " + maximum + " with the memory of the process");
    }
  }

  private static int number(
      MappingReader reader, String key, int minimum, int maximum, int defaultValue) {
    return reader.number(key, minimum, maximum).orElse((long) defaultValue).intValue();
  }

  // -- queries

  /** Returns the direct memory that the buffers of all connections may occupy, in bytes. */
  public long directBytes() {
    // The connections to upstreams and to other daemons need half as much as the clients.
    return bufferBytes + bufferBytes / 2;
  }

  /** Returns the limits of the rule that decides which connections are closed. */
  public ProtectionLimits limits() {
    return new ProtectionLimits(stallTime, maximumStallTime, stalledConnections, heldBytes / 2);
  }
}
