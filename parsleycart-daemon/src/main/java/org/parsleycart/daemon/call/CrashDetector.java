package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Event;
import org.parsleycart.decision.quarantine.AnsweredRequests;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.tinylog.Logger;

/**
 * Detects that the process of an upstream beside this daemon has ended, and reports which requests
 * it ran then.
 *
 * <p>A process that ends breaks the connections of all its calls. So once a second one breaks, or
 * no other call was running, or a connection fails, one more connection is opened: a process that
 * accepts it has not ended. Thread-safe.
 */
public final class CrashDetector {
  /** More upstreams than end beside one daemon at once. The oldest is forgotten beyond this. */
  private static final int MAXIMUM_PROCESSES = 16;

  /** Answers that arrived before a process ended may be read after the first broken call. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(200);

  private final RequestQuarantine quarantine;
  private final ConnectionPools pools;
  private final Consumer<List<RequestEvidence>> dissemination;
  private final InstantSource clock;
  private final AnsweredRequests answered = new AnsweredRequests();
  private final Map<String, BrokenCalls> brokenCalls = new LinkedHashMap<>();

  /** Whether any call broke; spares each answer the lock until then. */
  private volatile boolean hasBrokenCalls;

  private static final class BrokenCalls {
    private final Set<Long> requests = new HashSet<>();
    private final Instant since;
    private boolean isProbed;
    private boolean hasProcessEnded;

    private BrokenCalls(Instant since) {
      this.since = since;
    }
  }

  // -- construction

  /**
   * Creates a detector.
   *
   * @param dissemination receives evidence that the other daemons do not have yet
   */
  public CrashDetector(
      RequestQuarantine quarantine,
      ConnectionPools pools,
      Consumer<List<RequestEvidence>> dissemination,
      InstantSource clock) {
    this.quarantine = requireNonNull(quarantine, "quarantine is null");
    this.pools = requireNonNull(pools, "pools is null");
    this.dissemination = requireNonNull(dissemination, "dissemination is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Records that an upstream answered a call that it ran. */
  void recordAnswer(LocalUpstream upstream, LocalCall call) {
    answered.record(RequestFingerprint.checksumOf(call.exchange(), call.body()));
    if (hasBrokenCalls) {
      forget(processOf(upstream));
    }
    if (!quarantine.hasSuspects()) {
      return;
    }
    long request = RequestFingerprint.of(call.exchange(), call.body());
    if (quarantine.isSuspectedRepeatedly(request)) {
      Logger.info(
          "request {} is no longer suspected: upstream {} answered it",
          Long.toHexString(request),
          processOf(upstream));
      report(RequestEvidence.of(Event.ANSWERED, processOf(upstream), List.of(request)));
    }
  }

  /**
   * Records that the connection of a call broke while an upstream may have run it. Must be called
   * on the input/output thread of the call.
   */
  void recordBrokenCall(LocalUpstream upstream, LocalCall call) {
    if (answered.contains(RequestFingerprint.checksumOf(call.exchange(), call.body()))) {
      return;
    }
    String process = processOf(upstream);
    long request = RequestFingerprint.of(call.exchange(), call.body());
    switch (add(process, request, upstream.admission().running() == 0)) {
      case WAIT -> {}
      case PROBE -> probe(upstream, call);
      case REPORT -> reportEnd(process, Set.of(request));
      default -> throw new IllegalStateException("unknown step after a broken call");
    }
  }

  /**
   * Records that no connection to an upstream could be opened. Must be called on the input/output
   * thread of the call.
   */
  void recordUnreachable(LocalUpstream upstream, LocalCall call) {
    if (startProbe(processOf(upstream))) {
      probe(upstream, call);
    }
  }

  /** What to do after a broken call. */
  private enum Step {
    WAIT,
    PROBE,
    REPORT
  }

  private synchronized Step add(String process, long request, boolean isOnlyCall) {
    BrokenCalls known = brokenCalls.get(process);
    boolean isFirst = known == null;
    if (isFirst && brokenCalls.size() == MAXIMUM_PROCESSES) {
      brokenCalls.remove(brokenCalls.keySet().iterator().next());
    }
    BrokenCalls broken =
        brokenCalls.computeIfAbsent(process, unused -> new BrokenCalls(clock.instant()));
    broken.requests.add(request);
    hasBrokenCalls = true;
    if (broken.hasProcessEnded) {
      return Step.REPORT;
    }
    return (!isFirst || isOnlyCall) && startProbe(process) ? Step.PROBE : Step.WAIT;
  }

  /** Returns whether a probe is due, because calls broke and none was made since. */
  private synchronized boolean startProbe(String process) {
    BrokenCalls broken = brokenCalls.get(process);
    boolean isDue = broken != null && !broken.isProbed;
    if (isDue) {
      broken.isProbed = true;
    }
    return isDue;
  }

  /** Forgets broken calls of a process that goes on to answer others. */
  private synchronized void forget(String process) {
    Instant settledSince = clock.instant().minus(SETTLING_TIME);
    brokenCalls.computeIfPresent(
        process,
        (unused, broken) ->
            broken.hasProcessEnded || broken.since.isAfter(settledSince) ? broken : null);
    hasBrokenCalls = !brokenCalls.isEmpty();
  }

  private void probe(LocalUpstream upstream, LocalCall call) {
    String process = processOf(upstream);
    pools
        .of(call.exchange().getIoThread())
        .probe(upstream.address(), isAccepting -> probed(process, isAccepting));
  }

  private void probed(String process, boolean isAccepting) {
    Set<Long> requests;
    synchronized (this) {
      BrokenCalls known = brokenCalls.get(process);
      if (known == null) {
        return;
      }
      requests = Set.copyOf(known.requests);
      known.hasProcessEnded = !isAccepting;
      if (isAccepting) {
        brokenCalls.remove(process);
        return;
      }
    }
    reportEnd(process, requests);
  }

  private void reportEnd(String process, Set<Long> requests) {
    Logger.warn(
        "upstream {} ended while it ran {} requests: {}",
        process,
        requests.size(),
        requests.stream().map(Long::toHexString).collect(Collectors.joining(" ")));
    report(RequestEvidence.of(Event.ENDED, process, requests));
  }

  private void report(RequestEvidence evidence) {
    List<RequestEvidence> changed = quarantine.merge(List.of(evidence));
    if (!changed.isEmpty()) {
      dissemination.accept(changed);
    }
  }

  private static String processOf(LocalUpstream upstream) {
    String identifier = upstream.announced().identifier();
    return upstream
        .heartbeat()
        .map(heartbeat -> identifier + "@" + heartbeat.startedAt())
        .orElse(identifier);
  }
}
