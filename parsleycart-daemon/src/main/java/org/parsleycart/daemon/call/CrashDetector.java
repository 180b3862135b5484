package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

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
 * <p>After a call whose connection broke, one more connection is opened: a process that accepts it
 * has not ended. Thread-safe.
 */
public final class CrashDetector {
  /** More upstreams than end beside one daemon at once. The oldest is forgotten beyond this. */
  private static final int MAXIMUM_PROCESSES = 16;

  private final RequestQuarantine quarantine;
  private final ConnectionPools pools;
  private final Consumer<List<RequestEvidence>> dissemination;
  private final AnsweredRequests answered = new AnsweredRequests();
  private final Map<String, BrokenCalls> brokenCalls = new LinkedHashMap<>();

  private static final class BrokenCalls {
    private final Set<Long> requests = new HashSet<>();
    private boolean hasProcessEnded;
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
      Consumer<List<RequestEvidence>> dissemination) {
    this.quarantine = requireNonNull(quarantine, "quarantine is null");
    this.pools = requireNonNull(pools, "pools is null");
    this.dissemination = requireNonNull(dissemination, "dissemination is null");
  }

  // -- events

  /** Records that an upstream answered a call that it ran. */
  void recordAnswer(LocalUpstream upstream, LocalCall call) {
    answered.record(RequestFingerprint.checksumOf(call.exchange(), call.body()));
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
    switch (add(process, request)) {
      case FIRST ->
          pools
              .of(call.exchange().getIoThread())
              .probe(upstream.address(), isAccepting -> probed(process, isAccepting));
      case LATER -> {}
      case AFTER_END -> reportEnd(process, Set.of(request));
      default -> throw new IllegalStateException("unknown position of a broken call");
    }
  }

  /** When a call broke, among the calls of its process that broke. */
  private enum Position {
    FIRST,
    LATER,
    AFTER_END
  }

  private synchronized Position add(String process, long request) {
    BrokenCalls known = brokenCalls.get(process);
    if (known != null) {
      known.requests.add(request);
      return known.hasProcessEnded ? Position.AFTER_END : Position.LATER;
    }
    if (brokenCalls.size() == MAXIMUM_PROCESSES) {
      brokenCalls.remove(brokenCalls.keySet().iterator().next());
    }
    BrokenCalls first = new BrokenCalls();
    first.requests.add(request);
    brokenCalls.put(process, first);
    return Position.FIRST;
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
    report(RequestEvidence.of(Event.ENDED, process, List.copyOf(requests)));
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
