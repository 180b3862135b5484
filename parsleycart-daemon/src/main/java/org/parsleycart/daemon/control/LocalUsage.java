package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.Failure;
import org.parsleycart.decision.message.ControlMessage.UsageAnswer;
import org.parsleycart.decision.message.ControlMessage.UsageRequest;
import org.parsleycart.decision.usage.DaemonUsage;
import org.parsleycart.decision.usage.UsageCounts;
import org.parsleycart.decision.usage.UsageRecorder;
import org.parsleycart.decision.usage.WindowCounts;

/** The counts of this daemon for the usage duty. Safe for use by several threads. */
public final class LocalUsage {
  private final String identifier;
  private final long incarnation;
  private final Optional<UsageCounts> counts;
  private final InstantSource wallClock;

  // -- construction

  /**
   * Creates the counts of one process.
   *
   * @param incarnation distinguishes the processes of this daemon
   * @param counts empty if the settings do not ask for the duty
   */
  public LocalUsage(
      String identifier, long incarnation, Optional<UsageCounts> counts, InstantSource wallClock) {
    this.identifier = requireNonNull(identifier, "identifier is null");
    this.incarnation = incarnation;
    this.counts = requireNonNull(counts, "counts is null");
    this.wallClock = requireNonNull(wallClock, "wallClock is null");
  }

  // -- queries

  /** Returns where the requests that local upstreams begin are recorded. */
  public UsageRecorder recorder() {
    return counts.isPresent() ? counts.get() : UsageRecorder.NONE;
  }

  String identifier() {
    return identifier;
  }

  long incarnation() {
    return incarnation;
  }

  DaemonUsage of(Collection<Long> windows) {
    return usage(counts.map(each -> each.of(windows)).orElse(List.of()));
  }

  DaemonUsage all() {
    return usage(counts.map(UsageCounts::all).orElse(List.of()));
  }

  private DaemonUsage usage(List<WindowCounts> windows) {
    return new DaemonUsage(identifier, incarnation, windows);
  }

  /** Answers the holder of the duty. */
  ControlMessage answer(UsageRequest request) {
    return counts.isPresent()
        ? new UsageAnswer(of(request.windows()), wallClock.millis())
        : new Failure("usage is not counted here");
  }
}
