package org.parsleycart.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The probes that wait for their acknowledgement, this daemon's own and those of others. */
final class OutstandingProbes {
  private final Map<Long, Probed> own = new HashMap<>();
  private final Map<Long, Relayed> relayed = new HashMap<>();
  private long nextNumber;

  /** A probe of this daemon. */
  record Probed(long number, String target, Instant sentAt, boolean indirect) {}

  /** A probe sent on behalf of another daemon. */
  record Relayed(String origin, long originNumber, Instant at) {}

  // -- own probes

  long newNumber() {
    return nextNumber++;
  }

  long register(String target, Instant now) {
    long number = newNumber();
    own.put(number, new Probed(number, target, now, false));
    return number;
  }

  /** Gives a probe that is overdue a second time, through other members. */
  void registerIndirect(Probed direct, Instant now) {
    own.put(direct.number(), new Probed(direct.number(), direct.target(), now, true));
  }

  /** Takes out the probes that have waited longer than the timeout. */
  List<Probed> takeOverdue(Duration timeout, Instant now) {
    List<Probed> overdue =
        own.values().stream().filter(probe -> probe.sentAt().plus(timeout).isBefore(now)).toList();
    overdue.forEach(probe -> own.remove(probe.number()));
    return overdue;
  }

  /** Takes out the probe that an acknowledgement answers; returns whether there was one. */
  boolean acknowledge(long number, String subject) {
    Probed probe = own.get(number);
    return probe != null && probe.target().equals(subject) && own.remove(number, probe);
  }

  void forgetOwn() {
    own.clear();
  }

  // -- probes on behalf of others

  long relay(String origin, long originNumber, Instant now, Duration keptFor) {
    relayed.values().removeIf(each -> each.at().plus(keptFor).isBefore(now));
    long number = newNumber();
    relayed.put(number, new Relayed(origin, originNumber, now));
    return number;
  }

  Optional<Relayed> takeRelayed(long number) {
    return Optional.ofNullable(relayed.remove(number));
  }
}
