package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.report.EventLog;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.tinylog.Logger;

/**
 * The duty that looks after the upstreams beside the daemon: lapsed announcements, calls that
 * waited too long, the withdrawal and return of the zone, and the events for operators.
 */
public final class MaintenanceWorker {
  private static final long STEP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

  private final MeshState state;
  private final LocalUpstreams upstreams;
  private final GossipWorker gossip;
  private final EventLog events;
  private final WorkerLoop loop;
  private Configuration seen;
  private Set<String> seenWithdrawn = Set.of();
  private boolean zoneClosed;

  // -- construction

  /** Creates the duty; {@link #start} starts its thread. */
  public MaintenanceWorker(
      MeshState state, LocalUpstreams upstreams, GossipWorker gossip, EventLog events) {
    this.state = requireNonNull(state, "state is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.events = requireNonNull(events, "events is null");
    this.seen = state.configuration();
    this.loop = new WorkerLoop("upkeep", this::step);
  }

  /** Starts the thread. */
  public void start() {
    upstreams.onChange(this::announceUpstreams);
    loop.start();
  }

  /** Stops the thread. */
  public void stop() {
    loop.stop();
  }

  // -- operation

  private void step() {
    LockSupport.parkNanos(STEP_NANOSECONDS);
    List<String> lapsed = upstreams.expire();
    lapsed.forEach(identifier -> Logger.info("upstream {} missed its renewal", identifier));
    noteConfiguration();
    noteZones();
    closeOrOpenZone();
  }

  private void announceUpstreams() {
    if (!state.isStopping()) {
      gossip.submit(
          (protocol, pulls) -> protocol.announceSelf(MemberStatus.ALIVE, upstreams.announced()));
    }
  }

  private void noteConfiguration() {
    Configuration current = state.configuration();
    if (current.version() != seen.version()) {
      events.recordConfigurationChange(seen, current);
      seen = current;
    }
  }

  private void noteZones() {
    Configuration current = state.configuration();
    Set<String> withdrawn =
        current.zones().stream()
            .map(AvailabilityZone::name)
            .filter(zone -> state.facts().isWithdrawn(current, zone))
            .collect(Collectors.toSet());
    if (withdrawn.equals(seenWithdrawn)) {
      return;
    }
    Set<String> changed = new HashSet<>();
    Stream.concat(withdrawn.stream(), seenWithdrawn.stream())
        .filter(zone -> withdrawn.contains(zone) != seenWithdrawn.contains(zone))
        .forEach(changed::add);
    changed.forEach(
        zone -> events.recordZoneChange(zone, withdrawn.contains(zone), "in force here"));
    seenWithdrawn = withdrawn;
  }

  private void closeOrOpenZone() {
    boolean withdrawn = state.isOwnZoneWithdrawn();
    if (withdrawn == zoneClosed) {
      return;
    }
    zoneClosed = withdrawn;
    if (withdrawn) {
      upstreams.closeAdmission(RefusalReason.ZONE_WITHDRAWN);
    } else {
      upstreams.openAdmission();
    }
    Logger.info("zone {} {}", state.zone(), withdrawn ? "withdrawn" : "returned");
  }
}
