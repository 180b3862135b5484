package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.DepartedUpstreams;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.tinylog.Logger;

/**
 * The upstreams beside this daemon, as they announced themselves. Safe for use by several threads.
 */
public final class LocalUpstreams {
  /**
   * How long an upstream counts without a heartbeat: several of the usual 1.5 s, as one that runs
   * may be slow to tell. One that is gone shows at the connection.
   */
  private static final Duration HEARTBEAT_LAPSE = Duration.ofSeconds(10);

  private final Map<String, LocalUpstream> upstreams = new ConcurrentHashMap<>();
  private final DepartedUpstreams departures = new DepartedUpstreams();
  private final AdmissionSettings settings;
  private final InstantSource clock;
  private volatile Runnable changed = () -> {};

  /**
   * The state of an upstream for operators.
   *
   * @param announced what it announced
   * @param address where it takes requests
   * @param load its load
   * @param coldReturns how often it fell back to cold
   */
  public record View(
      AnnouncedUpstream announced, String address, LoadReport load, long coldReturns) {}

  // -- construction

  /** Creates an empty set. */
  public LocalUpstreams(AdmissionSettings settings, InstantSource clock) {
    this.settings = requireNonNull(settings, "settings is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  /** Sets what to run when the announcements have changed. */
  public void onChange(Runnable listener) {
    changed = requireNonNull(listener, "listener is null");
  }

  // -- announcements

  /**
   * Takes an announcement or its renewal.
   *
   * @param announced the upstream
   * @param address where it takes requests
   * @param renewWithin how long the announcement lasts
   */
  public void announce(AnnouncedUpstream announced, String address, Duration renewWithin) {
    Instant renewBy = clock.instant().plus(renewWithin);
    LocalUpstream before = upstreams.get(announced.identifier());
    if (before != null && before.isRenewedBy(announced, address)) {
      upstreams.put(announced.identifier(), before.withRenewBy(renewBy));
      return;
    }
    AdmissionControl<LocalCall> admission =
        new AdmissionControl<>(settings, announced.slots(), clock);
    upstreams.put(
        announced.identifier(),
        new LocalUpstream(announced, address, renewBy, Optional.empty(), admission));
    changed.run();
  }

  /**
   * Takes a heartbeat. One that was sent before another from the same address, or by a process that
   * has left, changes nothing.
   *
   * @param heartbeat the heartbeat
   * @return whether it counts
   */
  public synchronized boolean receiveHeartbeat(UpstreamHeartbeat heartbeat) {
    requireNonNull(heartbeat, "heartbeat is null");
    if (departures.hasLeft(heartbeat) || isOutdated(heartbeat)) {
      return false;
    }
    String identifier = heartbeat.upstream().identifier();
    replaceOthers(heartbeat);
    Instant renewBy = clock.instant().plus(HEARTBEAT_LAPSE);
    LocalUpstream before = upstreams.get(identifier);
    boolean sameProcess =
        before != null
            && before.heartbeat().filter(last -> last.isFromSameProcessAs(heartbeat)).isPresent();
    LocalUpstream after =
        sameProcess
            ? before.withHeartbeat(heartbeat, renewBy)
            : new LocalUpstream(
                heartbeat.upstream(),
                heartbeat.address(),
                renewBy,
                Optional.of(heartbeat),
                new AdmissionControl<>(settings, heartbeat.upstream().slots(), clock));
    after.admission().setRemainingColdTime(heartbeat.remainingColdTime());
    upstreams.put(identifier, after);
    if (!sameProcess || !before.announced().equals(after.announced())) {
      Logger.info(
          "upstream {} of {} {}: {}",
          identifier,
          after.announced().service(),
          after.announced().version(),
          after.announced().draining() ? "draining" : "ready");
      changed.run();
    }
    return true;
  }

  private boolean isOutdated(UpstreamHeartbeat heartbeat) {
    return upstreams.values().stream()
        .filter(held -> held.address().equals(heartbeat.address()))
        .flatMap(held -> held.heartbeat().stream())
        .anyMatch(last -> !heartbeat.isNewerThan(last));
  }

  /** Removes what ran before at the address of a later process. */
  private void replaceOthers(UpstreamHeartbeat heartbeat) {
    upstreams.values().stream()
        .filter(held -> held.address().equals(heartbeat.address()))
        .filter(
            held ->
                held.heartbeat().filter(last -> !last.isFromSameProcessAs(heartbeat)).isPresent())
        .map(held -> held.announced().identifier())
        .toList()
        .forEach(this::remove);
  }

  /** Removes an upstream that says that it leaves; its heartbeats on the way change nothing. */
  public synchronized void deregister(String identifier) {
    LocalUpstream held = upstreams.get(identifier);
    Optional<UpstreamHeartbeat> last = held == null ? Optional.empty() : held.heartbeat();
    departures.recordDeparture(identifier, last, clock.instant());
    Logger.info("upstream {} has left", identifier);
    remove(identifier);
  }

  /** Lets an upstream finish its calls and take no new ones; returns whether it is known. */
  public boolean drain(String identifier) {
    LocalUpstream drained =
        upstreams.computeIfPresent(identifier, (key, held) -> held.toDraining());
    changed.run();
    return drained != null;
  }

  /** Removes an upstream; returns whether it was known. */
  public boolean remove(String identifier) {
    LocalUpstream gone = upstreams.remove(identifier);
    if (gone == null) {
      return false;
    }
    notifyRefusals(gone, gone.admission().close(RefusalReason.UPSTREAM_GONE));
    changed.run();
    return true;
  }

  /** Removes the upstreams whose announcement has lapsed; returns their identifiers. */
  public List<String> expire() {
    Instant now = clock.instant();
    List<String> lapsed =
        upstreams.values().stream()
            .filter(upstream -> upstream.renewBy().isBefore(now))
            .map(upstream -> upstream.announced().identifier())
            .toList();
    lapsed.forEach(this::remove);
    upstreams
        .values()
        .forEach(upstream -> notifyRefusals(upstream, upstream.admission().refuseExpired()));
    return lapsed;
  }

  /** Closes admission to all upstreams, as when the zone is withdrawn. */
  public void closeAdmission(RefusalReason reason) {
    upstreams
        .values()
        .forEach(upstream -> notifyRefusals(upstream, upstream.admission().close(reason)));
  }

  /** Opens admission to all upstreams again; they start cold. */
  public void openAdmission() {
    upstreams.values().forEach(upstream -> upstream.admission().reopen());
  }

  /** Refuses what admission decided to refuse, and tells the load that is left. */
  static void notifyRefusals(LocalUpstream upstream, AdmissionDecision<LocalCall> admission) {
    if (admission.refusals().isEmpty()) {
      return;
    }
    LoadReport load = upstream.admission().load();
    admission
        .refusals()
        .forEach(
            refused -> {
              LocalCall call = refused.request().call();
              call.runOnExchangeThread(
                  () -> {
                    call.listener().loadReported(load);
                    call.listener().refused(refused.reason());
                  });
            });
  }

  // -- queries

  Optional<LocalUpstream> find(String identifier) {
    return Optional.ofNullable(upstreams.get(identifier));
  }

  /** Returns what to announce to other daemons. */
  public List<AnnouncedUpstream> announced() {
    return upstreams.values().stream().map(LocalUpstream::announced).toList();
  }

  /** Returns the calls running beside this daemon. */
  public int runningCalls() {
    return upstreams.values().stream().mapToInt(each -> each.admission().running()).sum();
  }

  /** Returns the upstreams for operators. */
  public List<View> view() {
    return upstreams.values().stream()
        .map(
            each ->
                new View(
                    each.announced(),
                    each.address(),
                    each.admission().load(),
                    each.admission().returnsToCold()))
        .toList();
  }
}
