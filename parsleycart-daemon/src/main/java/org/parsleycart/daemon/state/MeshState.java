package org.parsleycart.daemon.state;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;

/**
 * The state that the background workers update and the call path reads: the configuration, the
 * upstreams, and whether this daemon accepts calls. Safe for use by several threads.
 */
public final class MeshState {
  private final String zone;
  private final Map<String, String> labels;
  private final ConfigurationLog log;
  private final UrgentFacts facts;
  private final RequestQuarantine quarantine;
  private final WorkerHealth workers;
  private volatile UpstreamDirectory directory = UpstreamDirectory.empty();
  private volatile boolean ready;
  private volatile boolean isolated;
  private volatile boolean stopping;
  private volatile boolean refusingNewCalls;
  private volatile Optional<String> callerService = Optional.empty();

  // -- construction

  /**
   * Creates the state of a daemon that has just started and is not ready.
   *
   * @param quarantine the requests that no upstream may run
   * @param workers the health of the workers, without which the daemon is not ready
   */
  public MeshState(
      String zone,
      Map<String, String> labels,
      ConfigurationLog log,
      UrgentFacts facts,
      RequestQuarantine quarantine,
      WorkerHealth workers) {
    this.zone = requireNonNull(zone, "zone is null");
    this.labels = Map.copyOf(labels);
    this.log = requireNonNull(log, "log is null");
    this.facts = requireNonNull(facts, "facts is null");
    this.quarantine = requireNonNull(quarantine, "quarantine is null");
    this.workers = requireNonNull(workers, "workers is null");
  }

  // -- queries

  public String zone() {
    return zone;
  }

  public Map<String, String> labels() {
    return labels;
  }

  /** Returns the configuration in force at this daemon. */
  public Configuration configuration() {
    return log.current();
  }

  public ConfigurationLog log() {
    return log;
  }

  /** Returns the urgent facts that this daemon has received or decided. */
  public UrgentFacts facts() {
    return facts;
  }

  /** Returns the requests that no upstream may run. */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the health of the background workers. */
  public WorkerHealth workers() {
    return workers;
  }

  /** Returns the upstreams that may accept new calls. */
  public UpstreamDirectory directory() {
    return directory;
  }

  /**
   * Returns whether callers may send calls here: a confirmed configuration is in force, no worker
   * fails with errors, and no graceful shutdown has begun.
   */
  public boolean isReady() {
    return ready && !stopping && workers.isSound();
  }

  /**
   * Returns whether calls are served. Calls that still arrive during a graceful shutdown are served
   * too.
   */
  public boolean isServing() {
    return ready;
  }

  /**
   * Returns whether a graceful shutdown has reached the point from which new calls are refused,
   * because they would be aborted.
   */
  public boolean isRefusingNewCalls() {
    return refusingNewCalls;
  }

  /**
   * Returns whether this daemon refuses calls because it has had contact with neither other zones
   * nor the platform for too long.
   */
  public boolean isIsolated() {
    return isolated;
  }

  /**
   * Returns the service next to this daemon, or empty if unknown. Its calls carry this name to the
   * upstreams as the name of the caller.
   */
  public Optional<String> callerService() {
    return callerService;
  }

  /** Returns whether a graceful shutdown is in progress. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns whether the zone of this daemon is withdrawn and accepts no new calls. */
  public boolean isOwnZoneWithdrawn() {
    return facts.isWithdrawn(log.current(), zone);
  }

  // -- updates

  /** Sets the upstreams that may accept new calls. */
  public void setDirectory(UpstreamDirectory newDirectory) {
    directory = requireNonNull(newDirectory, "newDirectory is null");
  }

  /** Records that a confirmed configuration is in force. */
  public void setReady() {
    ready = true;
  }

  /** Records whether this daemon is isolated from other zones and the platform. */
  public void setIsolated(boolean nowIsolated) {
    isolated = nowIsolated;
  }

  /** Records that new calls are refused from now on, because the daemon is about to exit. */
  public void setRefusingNewCalls() {
    refusingNewCalls = true;
  }

  /** Sets the service next to this daemon. */
  public void setCallerService(Optional<String> service) {
    callerService = requireNonNull(service, "service is null");
  }

  /** Records that a graceful shutdown is in progress. */
  public void setStopping() {
    stopping = true;
  }
}
