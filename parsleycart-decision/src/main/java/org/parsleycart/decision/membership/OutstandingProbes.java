package org.parsleycart.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Probes that are not yet acknowledged: those of this daemon and those relayed for other daemons.
 */
final class OutstandingProbes {
  private final Map<Long, OwnProbe> ownProbes = new HashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private long nextNumber;

  /** A probe sent by this daemon on its own behalf. */
  record OwnProbe(long number, String target, Instant sentAt, boolean isIndirect) {}

  /** A probe sent on behalf of another daemon. */
  record RelayedProbe(String origin, long originNumber, Instant sentAt) {}

  // -- own probes

  long newNumber() {
    return nextNumber++;
  }

  long register(String target, Instant now) {
    long number = newNumber();
    ownProbes.put(number, new OwnProbe(number, target, now, false));
    return number;
  }

  /** Registers an overdue direct probe again, as a probe through other members. */
  void registerIndirect(OwnProbe direct, Instant now) {
    ownProbes.put(direct.number(), new OwnProbe(direct.number(), direct.target(), now, true));
  }

  /** Removes and returns the probes that have waited longer than the timeout. */
  List<OwnProbe> removeOverdue(Duration timeout, Instant now) {
    List<OwnProbe> overdue =
        ownProbes.values().stream()
            .filter(probe -> probe.sentAt().plus(timeout).isBefore(now))
            .toList();
    overdue.forEach(probe -> ownProbes.remove(probe.number()));
    return overdue;
  }

  /** Removes the probe that an acknowledgement answers. Returns false when no probe matches. */
  boolean acknowledge(long number, String subject) {
    OwnProbe probe = ownProbes.get(number);
    return probe != null && probe.target().equals(subject) && ownProbes.remove(number, probe);
  }

  void clearOwn() {
    ownProbes.clear();
  }

  // -- probes on behalf of others

  long relay(String origin, long originNumber, Instant now, Duration retention) {
    relayedProbes.values().removeIf(probe -> probe.sentAt().plus(retention).isBefore(now));
    long number = newNumber();
    relayedProbes.put(number, new RelayedProbe(origin, originNumber, now));
    return number;
  }

  Optional<RelayedProbe> removeRelayed(long number) {
    return Optional.ofNullable(relayedProbes.remove(number));
  }
}
