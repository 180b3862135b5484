package org.parsleycart.daemon.state;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;

/**
 * What the calls of a daemon read of the duties' work: the configuration, the upstreams, and
 * whether this daemon may take work. Safe for use by several threads.
 */
public final class MeshState {
  private final String zone;
  private final Map<String, String> labels;
  private final ConfigurationLog log;
  private final UrgentFacts facts;
  private volatile UpstreamDirectory directory = UpstreamDirectory.empty();
  private volatile boolean ready;
  private volatile boolean isolated;
  private volatile boolean stopping;
  private volatile boolean refusingNewCalls;
  private volatile Optional<String> callerService = Optional.empty();

  // -- construction

  /** Creates the state of a daemon that has just started. */
  public MeshState(
      String zone, Map<String, String> labels, ConfigurationLog log, UrgentFacts facts) {
    this.zone = requireNonNull(zone, "zone is null");
    this.labels = Map.copyOf(labels);
    this.log = requireNonNull(log, "log is null");
    this.facts = requireNonNull(facts, "facts is null");
  }

  // -- queries

  /** Returns the availability zone of this daemon. */
  public String zone() {
    return zone;
  }

  /** Returns the labels of this daemon. */
  public Map<String, String> labels() {
    return labels;
  }

  /** Returns the configuration in force here. */
  public Configuration configuration() {
    return log.current();
  }

  /** Returns the log of configurations. */
  public ConfigurationLog log() {
    return log;
  }

  /** Returns the urgent facts known here. */
  public UrgentFacts facts() {
    return facts;
  }

  /** Returns the upstreams that may take new calls. */
  public UpstreamDirectory directory() {
    return directory;
  }

  /** Returns whether new callers may come: a confirmed configuration is in force, no stop begun. */
  public boolean isReady() {
    return ready && !stopping;
  }

  /** Returns whether calls are served; during a planned stop those that still come are. */
  public boolean isServing() {
    return ready;
  }

  /** Returns whether a planned stop has come so far that new calls would be cut. */
  public boolean isRefusingNewCalls() {
    return refusingNewCalls;
  }

  /** Returns whether nothing has been heard from outside the zone for too long. */
  public boolean isIsolated() {
    return isolated;
  }

  /** Returns the service beside this daemon, which upstreams are told of its callers. */
  public Optional<String> callerService() {
    return callerService;
  }

  /** Returns whether a planned stop is under way. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns whether the zone of this daemon takes no new work. */
  public boolean isOwnZoneWithdrawn() {
    return facts.isWithdrawn(log.current(), zone);
  }

  // -- updates

  /** Sets the upstreams that may take new calls. */
  public void setDirectory(UpstreamDirectory newDirectory) {
    directory = requireNonNull(newDirectory, "newDirectory is null");
  }

  /** Notes that a confirmed configuration is in force. */
  public void setReady() {
    ready = true;
  }

  /** Notes whether nothing is heard from outside the zone. */
  public void setIsolated(boolean nowIsolated) {
    isolated = nowIsolated;
  }

  /** Notes that new calls are refused from now on, as the daemon ends within moments. */
  public void setRefusingNewCalls() {
    refusingNewCalls = true;
  }

  /** Sets the service beside this daemon. */
  public void setCallerService(Optional<String> service) {
    callerService = requireNonNull(service, "service is null");
  }

  /** Notes that a planned stop is under way. */
  public void setStopping() {
    stopping = true;
  }
}
