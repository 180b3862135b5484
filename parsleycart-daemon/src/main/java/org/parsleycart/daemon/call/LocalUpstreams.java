package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.PaceTracker;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.SlotUsage;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.DepartedProcess;
import org.parsleycart.decision.membership.DepartedUpstreams;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.tinylog.Logger;

/** The upstreams that announced themselves to this daemon. Thread-safe. */
public final class LocalUpstreams {
  /**
   * Time without a heartbeat after which an upstream is removed. It spans several of the usual
   * intervals of 1.5 s because a running upstream may delay its heartbeats. A terminated upstream
   * is detected earlier, by its failed connections.
   */
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(10);

  /** The highest sequence of a first heartbeat; senders begin at 0 or 1. */
  private static final long FIRST_SEQUENCE = 1;

  private final Map<String, LocalUpstream> upstreams = new ConcurrentHashMap<>();
  private final DepartedUpstreams departedUpstreams = new DepartedUpstreams();
  private final AdmissionSettings settings;
  private final InstantSource clock;

  /** The last heartbeat of each upstream that waits for {@link #restore}. */
  private final Map<String, UpstreamHeartbeat> waitingHeartbeats = new LinkedHashMap<>();

  private boolean isRestored;
  private volatile Runnable changeListener = () -> {};

  /**
   * The state of an upstream as shown to operators.
   *
   * @param address the address at which it accepts requests, as {@code host:port}
   * @param coldReturns how often it returned to cold start
   */
  public record View(
      AnnouncedUpstream announced, String address, LoadReport load, long coldReturns) {}

  // -- construction

  public LocalUpstreams(AdmissionSettings settings, InstantSource clock) {
    this.settings = requireNonNull(settings, "settings is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  /** Sets the task to run whenever the announced upstreams have changed. */
  public void onChange(Runnable listener) {
    changeListener = requireNonNull(listener, "listener is null");
  }

  // -- announcements

  /**
   * Adds or replaces an upstream, or renews its announcement if nothing but draining differs.
   *
   * @param address the address at which it accepts requests, as {@code host:port}
   * @param renewWithin how long the announcement remains valid
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
        new LocalUpstream(
            announced,
            address,
            renewBy,
            Optional.empty(),
            admission,
            new PaceTracker(),
            new SlotUsage()));
    changeListener.run();
  }

  /**
   * Adds or updates the upstream that sent a heartbeat. Ignores a heartbeat that is older than
   * another one from the same address, or that comes from a process that has left. Before {@link
   * #restore} the heartbeat waits, as its sender may have left before this daemon started.
   *
   * @return whether the heartbeat was applied
   */
  public synchronized boolean receiveHeartbeat(UpstreamHeartbeat heartbeat) {
    requireNonNull(heartbeat, "heartbeat is null");
    if (!isRestored) {
      waitingHeartbeats.merge(
          heartbeat.upstream().identifier(),
          heartbeat,
          (before, later) -> later.isNewerThan(before) ? later : before);
      return false;
    }
    return applyHeartbeat(heartbeat);
  }

  /**
   * Records the processes that left before this daemon started, removes them, and applies the
   * heartbeats that have waited for this. May be called again when more of them become known.
   */
  public synchronized void restore(List<DepartedProcess> departed) {
    departed.forEach(departedUpstreams::record);
    upstreams.values().stream()
        .flatMap(upstream -> upstream.heartbeat().stream())
        .filter(departedUpstreams::hasLeft)
        .map(heartbeat -> heartbeat.upstream().identifier())
        .toList()
        .forEach(this::remove);
    isRestored = true;
    List<UpstreamHeartbeat> waiting = List.copyOf(waitingHeartbeats.values());
    waitingHeartbeats.clear();
    waiting.forEach(this::applyHeartbeat);
  }

  private boolean applyHeartbeat(UpstreamHeartbeat heartbeat) {
    if (departedUpstreams.hasLeft(heartbeat) || isOutdated(heartbeat)) {
      return false;
    }
    String identifier = heartbeat.upstream().identifier();
    removePredecessors(heartbeat);
    Instant renewBy = clock.instant().plus(HEARTBEAT_TIMEOUT);
    LocalUpstream before = upstreams.get(identifier);
    boolean isSameProcess =
        before != null
            && before.heartbeat().filter(last -> last.isFromSameProcessAs(heartbeat)).isPresent();
    LocalUpstream after =
        isSameProcess
            ? before.withHeartbeat(heartbeat, renewBy)
            : new LocalUpstream(
                heartbeat.upstream(),
                heartbeat.address(),
                renewBy,
                Optional.of(heartbeat),
                newAdmission(heartbeat),
                new PaceTracker(),
                new SlotUsage());
    after.admission().setRemainingColdTime(heartbeat.remainingColdTime());
    upstreams.put(identifier, after);
    closeWhenDraining(after);
    if (!isSameProcess || !before.announced().equals(after.announced())) {
      Logger.info(
          "upstream {} of service {} version {} is {}",
          identifier,
          after.announced().service(),
          after.announced().version(),
          after.announced().draining() ? "draining" : "ready");
      changeListener.run();
    }
    return true;
  }

  private AdmissionControl<LocalCall> newAdmission(UpstreamHeartbeat heartbeat) {
    int slots = heartbeat.upstream().slots();
    return heartbeat.sequence() > FIRST_SEQUENCE
        ? AdmissionControl.besideRunningUpstream(settings, slots, clock)
        : new AdmissionControl<>(settings, slots, clock);
  }

  private boolean isOutdated(UpstreamHeartbeat heartbeat) {
    return upstreams.values().stream()
        .filter(upstream -> upstream.address().equals(heartbeat.address()))
        .flatMap(upstream -> upstream.heartbeat().stream())
        .anyMatch(last -> !heartbeat.isNewerThan(last));
  }

  /** Removes the upstreams of earlier processes at the address of the sender. */
  private void removePredecessors(UpstreamHeartbeat heartbeat) {
    upstreams.values().stream()
        .filter(upstream -> upstream.address().equals(heartbeat.address()))
        .filter(
            upstream ->
                upstream
                    .heartbeat()
                    .filter(last -> !last.isFromSameProcessAs(heartbeat))
                    .isPresent())
        .map(upstream -> upstream.announced().identifier())
        .toList()
        .forEach(this::remove);
  }

  /**
   * Removes an upstream at its own request. Its heartbeats still in transit will be ignored.
   *
   * @return the process that has left; without a heartbeat of it, any that started before now
   */
  public synchronized DepartedProcess deregister(String identifier) {
    LocalUpstream upstream = upstreams.get(identifier);
    DepartedProcess departed =
        Optional.ofNullable(upstream)
            .flatMap(LocalUpstream::heartbeat)
            .or(() -> Optional.ofNullable(waitingHeartbeats.remove(identifier)))
            .map(DepartedProcess::of)
            .orElseGet(() -> new DepartedProcess(identifier, clock.millis()));
    departedUpstreams.record(departed);
    Logger.info("upstream {} has left", identifier);
    remove(identifier);
    return departed;
  }

  /**
   * Marks an upstream as draining: it finishes its calls and accepts no new ones.
   *
   * @return whether the upstream exists
   */
  public boolean drain(String identifier) {
    LocalUpstream drained =
        upstreams.computeIfPresent(identifier, (key, upstream) -> upstream.toDraining());
    if (drained != null) {
      closeWhenDraining(drained);
    }
    changeListener.run();
    return drained != null;
  }

  /** Refuses the calls that wait for an upstream once it drains, so that others can serve them. */
  private static void closeWhenDraining(LocalUpstream upstream) {
    if (upstream.announced().draining()) {
      notifyRefusals(upstream, upstream.admission().close(RefusalReason.DRAINING));
    }
  }

  /** Marks an upstream as draining because it stated in an answer that it leaves. */
  void recordLeaving(String identifier) {
    boolean isNews = find(identifier).filter(found -> !found.announced().draining()).isPresent();
    if (isNews && drain(identifier)) {
      Logger.info("upstream {} states in its answers that it leaves: draining", identifier);
    }
  }

  /**
   * Removes an upstream and refuses its queued calls.
   *
   * @return whether the upstream existed
   */
  public boolean remove(String identifier) {
    LocalUpstream removed = upstreams.remove(identifier);
    if (removed == null) {
      return false;
    }
    notifyRefusals(removed, removed.admission().close(RefusalReason.UPSTREAM_GONE));
    changeListener.run();
    return true;
  }

  /**
   * Removes the upstreams with expired announcements, and refuses queued calls that are too late.
   *
   * @return the identifiers of the removed upstreams
   */
  public List<String> expire() {
    Instant now = clock.instant();
    List<String> expired =
        upstreams.values().stream()
            .filter(upstream -> upstream.renewBy().isBefore(now))
            .map(upstream -> upstream.announced().identifier())
            .toList();
    expired.forEach(this::remove);
    upstreams
        .values()
        .forEach(upstream -> notifyRefusals(upstream, upstream.admission().refuseExpired()));
    return expired;
  }

  /** Closes admission to all upstreams and refuses their queued calls. */
  public void closeAdmission(RefusalReason reason) {
    upstreams
        .values()
        .forEach(upstream -> notifyRefusals(upstream, upstream.admission().close(reason)));
  }

  /** Reopens admission to all upstreams that do not drain. They begin with a cold start. */
  public void openAdmission() {
    upstreams.values().stream()
        .filter(upstream -> !upstream.announced().draining())
        .forEach(upstream -> upstream.admission().reopen());
  }

  /** Notifies the listeners of the calls that admission refused, and reports the current load. */
  static void notifyRefusals(LocalUpstream upstream, AdmissionDecision<LocalCall> decision) {
    if (decision.refusals().isEmpty()) {
      return;
    }
    LoadReport load = upstream.load();
    decision
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

  /** Returns the reason for which a request would be refused now, without offering it. */
  public Optional<RefusalReason> expectedRefusal(String identifier, AdmissionRequest<?> request) {
    Optional<LocalUpstream> upstream = find(identifier);
    if (upstream.isEmpty()) {
      return Optional.of(RefusalReason.UPSTREAM_GONE);
    }
    return upstream.get().announced().draining()
        ? Optional.of(RefusalReason.DRAINING)
        : upstream.get().admission().expectedRefusal(request);
  }

  /** Returns the upstreams to announce to other daemons. */
  public List<AnnouncedUpstream> announced() {
    return upstreams.values().stream().map(LocalUpstream::announced).toList();
  }

  /** Returns the number of calls running at the upstreams beside this daemon. */
  public int runningCalls() {
    return upstreams.values().stream().mapToInt(each -> each.admission().running()).sum();
  }

  /** Returns the number of upstreams that state how many calls per second they take. */
  public long rateLimitedCount() {
    return upstreams.values().stream()
        .filter(upstream -> upstream.admission().statedRate().isPresent())
        .count();
  }

  /** Returns the states of all upstreams as shown to operators. */
  public List<View> view() {
    return upstreams.values().stream()
        .map(
            each ->
                new View(
                    each.announced(),
                    each.address(),
                    each.load(),
                    each.admission().returnsToCold()))
        .toList();
  }
}
