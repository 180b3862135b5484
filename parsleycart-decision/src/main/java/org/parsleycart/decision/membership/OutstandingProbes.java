package org.parsleycart.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The probes that wait for their acknowledgement, this daemon's own and those of others. */
final class OutstandingProbes {
  private final Map<Long, OutstandingProbes.OwnProbe> own = new HashMap<>();
  private final Map<Long, OutstandingProbes.RelayedProbe> relayed = new HashMap<>();
  private long nextNumber;

  /** A probe of this daemon. */
  record OwnProbe(long number, String target, Instant sentAt, boolean indirect) {}

  /** A probe sent on behalf of another daemon. */
  record RelayedProbe(String origin, long originNumber, Instant at) {}

  // -- own probes

  long newNumber() {
    return nextNumber++;
  }

  long register(String target, Instant now) {
    long number = newNumber();
    own.put(number, new OutstandingProbes.OwnProbe(number, target, now, false));
    return number;
  }

  /** Gives a probe that is overdue a second time, through other members. */
  void registerIndirect(OutstandingProbes.OwnProbe direct, Instant now) {
    own.put(
        direct.number(),
        new OutstandingProbes.OwnProbe(direct.number(), direct.target(), now, true));
  }

  /** Takes out the probes that have waited longer than the timeout. */
  List<OutstandingProbes.OwnProbe> removeOverdue(Duration timeout, Instant now) {
    List<OutstandingProbes.OwnProbe> overdue =
        own.values().stream().filter(probe -> probe.sentAt().plus(timeout).isBefore(now)).toList();
    overdue.forEach(probe -> own.remove(probe.number()));
    return overdue;
  }

  /** Takes out the probe that an acknowledgement answers; returns whether there was one. */
  boolean acknowledge(long number, String subject) {
    OutstandingProbes.OwnProbe probe = own.get(number);
    return probe != null && probe.target().equals(subject) && own.remove(number, probe);
  }

  void clearOwn() {
    own.clear();
  }

  // -- probes on behalf of others

  long relay(String origin, long originNumber, Instant now, Duration keptFor) {
    relayed.values().removeIf(each -> each.at().plus(keptFor).isBefore(now));
    long number = newNumber();
    relayed.put(number, new OutstandingProbes.RelayedProbe(origin, originNumber, now));
    return number;
  }

  Optional<OutstandingProbes.RelayedProbe> removeRelayed(long number) {
    return Optional.ofNullable(relayed.remove(number));
  }
}
