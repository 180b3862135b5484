package org.parsleycart.decision.quarantine;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Event;
import org.parsleycart.decision.message.RequestEvidence.Subject;

/**
 * Quarantines requests under which upstreams have ended.
 *
 * <p>When the process of an upstream ends, each request that it ran is suspected. A request that
 * ran at three processes as they ended, and that none has answered, is quarantined: no daemon sends
 * it to an upstream until the evidence expires. An answer clears a request, so that requests that
 * only happened to run beside the cause, or that many callers send alike, are not refused.
 *
 * <p>Evidence of several daemons merges in any order. Thread-safe.
 */
public final class RequestQuarantine {
  /** The number of processes that have to end under a request. */
  public static final int ENDED_PROCESSES = 3;

  /** How long evidence counts. The defect that a request meets outlasts a restart. */
  public static final Duration RETENTION = Duration.ofMinutes(15);

  /** The oldest evidence is removed beyond this. */
  static final int MAXIMUM_SUBJECTS = 256;

  /** More requests than a process runs; the others are not recorded. */
  static final int MAXIMUM_REQUESTS_PER_SUBJECT = 64;

  private final InstantSource clock;
  private final Consumer<Quarantined> listener;
  private final Map<Subject, Entry> entries = new LinkedHashMap<>();
  private volatile State state = new State(Map.of(), Instant.MAX);

  private record Entry(Set<Long> requests, Instant at) {}

  /** How many processes ended under each request that was not answered, until evidence expires. */
  private record State(Map<Long, Integer> endedProcesses, Instant validUntil) {}

  /**
   * A request that is quarantined from now on.
   *
   * @param request the fingerprint of the request
   * @param processes the processes that ended under it
   */
  public record Quarantined(long request, List<String> processes) {}

  // -- construction

  /**
   * Creates a quarantine without evidence.
   *
   * @param listener receives each request that is quarantined
   */
  public RequestQuarantine(InstantSource clock, Consumer<Quarantined> listener) {
    this.clock = requireNonNull(clock, "clock is null");
    this.listener = requireNonNull(listener, "listener is null");
  }

  // -- events

  /** Merges evidence and returns all of it on the subjects of which something was not known. */
  public synchronized List<RequestEvidence> merge(List<RequestEvidence> received) {
    requireNonNull(received, "received is null");
    Instant now = clock.instant();
    List<Subject> changed =
        received.stream()
            .filter(evidence -> evidence.age().compareTo(RETENTION) < 0)
            .filter(evidence -> add(evidence, now))
            .map(RequestEvidence::subject)
            .distinct()
            .toList();
    if (!changed.isEmpty()) {
      update(now);
    }
    return changed.stream().flatMap(subject -> find(subject).stream()).toList();
  }

  private boolean add(RequestEvidence evidence, Instant now) {
    Entry known = entries.get(evidence.subject());
    Instant at = now.minus(evidence.age());
    Set<Long> requests = new HashSet<>(known == null ? Set.of() : known.requests());
    evidence.requests().stream()
        .filter(request -> requests.size() < MAXIMUM_REQUESTS_PER_SUBJECT)
        .forEach(requests::add);
    if (known != null && known.requests().equals(requests)) {
      return false;
    }
    boolean isEarlier = known != null && known.at().isBefore(at);
    entries.put(evidence.subject(), new Entry(Set.copyOf(requests), isEarlier ? known.at() : at));
    if (entries.size() > MAXIMUM_SUBJECTS) {
      Iterator<Subject> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return true;
  }

  private void update(Instant now) {
    Map<Long, Integer> before = state.endedProcesses();
    entries.values().removeIf(entry -> !entry.at().plus(RETENTION).isAfter(now));
    Set<Long> answered = requestsOf(Event.ANSWERED).collect(Collectors.toSet());
    Map<Long, Integer> endedProcesses = new HashMap<>();
    requestsOf(Event.ENDED)
        .filter(request -> !answered.contains(request))
        .forEach(request -> endedProcesses.merge(request, 1, Integer::sum));
    Instant validUntil =
        entries.values().stream()
            .map(entry -> entry.at().plus(RETENTION))
            .min(Instant::compareTo)
            .orElse(Instant.MAX);
    state = new State(Map.copyOf(endedProcesses), validUntil);
    endedProcesses.forEach(
        (request, count) -> {
          if (count >= ENDED_PROCESSES && before.getOrDefault(request, 0) < ENDED_PROCESSES) {
            listener.accept(new Quarantined(request, processesEndedUnder(request)));
          }
        });
  }

  /** Returns the requests of all subjects with an event, each as often as subjects have it. */
  private Stream<Long> requestsOf(Event event) {
    return entries.entrySet().stream()
        .filter(entry -> entry.getKey().event() == event)
        .flatMap(entry -> entry.getValue().requests().stream());
  }

  private List<String> processesEndedUnder(long request) {
    return entries.entrySet().stream()
        .filter(entry -> entry.getKey().event() == Event.ENDED)
        .filter(entry -> entry.getValue().requests().contains(request))
        .map(entry -> entry.getKey().process())
        .toList();
  }

  // -- queries

  /** Returns whether any request is suspected. */
  public boolean hasSuspects() {
    return !endedProcesses().isEmpty();
  }

  /** Returns whether more than one process has ended under a request, and none has answered it. */
  public boolean isSuspectedRepeatedly(long request) {
    return endedProcesses().getOrDefault(request, 0) > 1;
  }

  /** Returns whether no upstream may run a request. */
  public boolean isQuarantined(long request) {
    return endedProcesses().getOrDefault(request, 0) >= ENDED_PROCESSES;
  }

  /** Returns the number of requests that no upstream may run. */
  public long quarantined() {
    return endedProcesses().values().stream().filter(count -> count >= ENDED_PROCESSES).count();
  }

  /**
   * Returns whether evidence is to be disseminated at once: a request in it has ended more than one
   * process, so that the next one may be close.
   */
  public boolean isUrgent(RequestEvidence evidence) {
    return evidence.requests().stream().anyMatch(this::isSuspectedRepeatedly);
  }

  private Map<Long, Integer> endedProcesses() {
    State current = state;
    if (clock.instant().isBefore(current.validUntil())) {
      return current.endedProcesses();
    }
    return expire();
  }

  private synchronized Map<Long, Integer> expire() {
    update(clock.instant());
    return state.endedProcesses();
  }

  /** Returns the evidence on a subject, or empty if there is none. */
  public synchronized Optional<RequestEvidence> find(Subject subject) {
    Instant now = clock.instant();
    return Optional.ofNullable(entries.get(subject)).map(entry -> toEvidence(subject, entry, now));
  }

  /** Returns all evidence, the oldest first. */
  public synchronized List<RequestEvidence> all() {
    Instant now = clock.instant();
    return entries.entrySet().stream()
        .map(entry -> toEvidence(entry.getKey(), entry.getValue(), now))
        .toList();
  }

  private static RequestEvidence toEvidence(Subject subject, Entry entry, Instant now) {
    Duration age = Duration.between(entry.at(), now);
    return new RequestEvidence(
        subject.event(),
        subject.process(),
        entry.requests(),
        age.isNegative() ? Duration.ZERO : age);
  }
}
