package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.UpstreamLoad;

/**
 * Why an entry sent an attempt to an upstream, for the log.
 *
 * @param candidate the chosen upstream
 * @param choice how its zone relates to the zone of the entry
 * @param outstandingCalls the calls that the entry believed to be running or queued there
 * @param loadAge the age of the load report behind that belief, empty if there was none
 */
record AttemptRecord(
    Candidate candidate,
    Choice choice,
    int outstandingCalls,
    Optional<Duration> loadAge,
    Instant startedAt) {

  /** How the zone of the chosen upstream relates to the zone of the entry. */
  enum Choice {
    OWN_ZONE("own-zone"),
    OTHER_ZONE("other-zone");

    private final String label;

    Choice(String label) {
      this.label = label;
    }

    @Override
    public String toString() {
      return label;
    }
  }

  AttemptRecord {
    requireNonNull(candidate, "candidate is null");
    requireNonNull(choice, "choice is null");
    requireNonNull(loadAge, "loadAge is null");
    requireNonNull(startedAt, "startedAt is null");
  }

  /** Returns the record of an attempt that starts now, before the attempt is counted as load. */
  static AttemptRecord of(Candidate candidate, UpstreamLoad load, String ownZone, Instant now) {
    return new AttemptRecord(
        candidate,
        candidate.zone().equals(ownZone) ? Choice.OWN_ZONE : Choice.OTHER_ZONE,
        load.outstandingCalls(),
        load.reportAge(now),
        now);
  }
}
