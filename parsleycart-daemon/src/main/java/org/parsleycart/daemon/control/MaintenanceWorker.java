package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
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
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Recency;
import org.tinylog.Logger;

/**
 * Maintains the upstreams next to the daemon.
 *
 * <p>Removes upstreams with expired announcements, refuses calls that waited too long, closes and
 * reopens admission when the zone is withdrawn or returned, and records events for operators.
 */
public final class MaintenanceWorker {
  private static final long STEP_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

  private final MeshState state;
  private final LocalUpstreams upstreams;
  private final GossipWorker gossip;
  private final EventLog events;
  private final WorkerLoop loop;
  private Configuration lastConfiguration;
  private Set<String> lastWithdrawnZones = Set.of();
  private Optional<Recency> zonesChecked = Optional.empty();
  private List<UrgentFact> zonesCheckedWithFacts = List.of();
  private boolean admissionClosed;

  // -- construction

  /** Creates the worker; {@link #start} starts its thread. */
  public MaintenanceWorker(
      MeshState state, LocalUpstreams upstreams, GossipWorker gossip, EventLog events) {
    this.state = requireNonNull(state, "state is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.events = requireNonNull(events, "events is null");
    this.lastConfiguration = state.configuration();
    this.loop = new WorkerLoop("maintenance", this::step, state.workers());
  }

  /** Starts the thread and announces every change of the upstreams by gossip from now on. */
  public void start() {
    upstreams.onChange(this::announceUpstreams);
    loop.start();
  }

  /** Stops the worker after its current step. */
  public void stop() {
    loop.stop();
  }

  // -- operation

  private void step() {
    LockSupport.parkNanos(STEP_INTERVAL_NANOSECONDS);
    List<String> expired = upstreams.expire();
    expired.forEach(
        identifier ->
            Logger.info("upstream {} removed: announcement not renewed in time", identifier));
    recordConfigurationChange();
    recordZoneChanges();
    updateAdmission();
  }

  private void announceUpstreams() {
    if (!state.isStopping()) {
      gossip.submit(
          (protocol, pullPlanner) ->
              protocol.announceSelf(MemberStatus.ALIVE, upstreams.announced()));
    }
  }

  private void recordConfigurationChange() {
    Configuration current = state.configuration();
    if (!current.recency().equals(lastConfiguration.recency())) {
      events.recordConfigurationChange(lastConfiguration, current);
      lastConfiguration = current;
    }
  }

  private void recordZoneChanges() {
    Configuration current = state.configuration();
    List<UrgentFact> facts = state.facts().all();
    if (Optional.of(current.recency()).equals(zonesChecked)
        && facts.equals(zonesCheckedWithFacts)) {
      return;
    }
    zonesChecked = Optional.of(current.recency());
    zonesCheckedWithFacts = facts;
    Set<String> withdrawn =
        current.zones().stream()
            .map(AvailabilityZone::name)
            .filter(zone -> state.facts().isWithdrawn(current, zone))
            .collect(Collectors.toSet());
    if (withdrawn.equals(lastWithdrawnZones)) {
      return;
    }
    Set<String> changed = new HashSet<>();
    Stream.concat(withdrawn.stream(), lastWithdrawnZones.stream())
        .filter(zone -> withdrawn.contains(zone) != lastWithdrawnZones.contains(zone))
        .forEach(changed::add);
    changed.forEach(
        zone -> events.recordZoneChange(zone, withdrawn.contains(zone), "in force here"));
    lastWithdrawnZones = withdrawn;
  }

  private void updateAdmission() {
    boolean withdrawn = state.isOwnZoneWithdrawn();
    if (withdrawn == admissionClosed) {
      return;
    }
    admissionClosed = withdrawn;
    if (withdrawn) {
      upstreams.closeAdmission(RefusalReason.ZONE_WITHDRAWN);
    } else {
      upstreams.openAdmission();
    }
    Logger.info("zone {} {}", state.zone(), withdrawn ? "withdrawn" : "returned");
  }
}
