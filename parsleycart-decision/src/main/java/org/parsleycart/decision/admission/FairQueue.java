package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The queued requests of one upstream. Requests run by rank; within a rank, organisations take
 * turns by start-time fair queuing; the requests of one organisation run by deadline.
 *
 * <p>Requests without an organisation form one group, which is due in each round for as long as it
 * has requests. These are the calls that upstreams make while they run calls of all organisations,
 * whose slots stay occupied until they are answered.
 *
 * <p>Each request costs one unit of virtual time. The start tag of an organisation's first request
 * is then either the virtual time of the rank or one more, the latter if the organisation has been
 * served at that virtual time. So the state of a rank is the set of organisations served in the
 * present round, and a request's start tag is its round: 0 is the present one.
 *
 * <p>If no request has an organisation, the order is that of one {@link PriorityQueue}, also among
 * equal requests. Not thread-safe; callers hold the lock of the owning {@link AdmissionControl}.
 *
 * @param <C> the type of the objects that represent calls
 */
final class FairQueue<C> {
  /**
   * Bounds the organisations remembered as served, in all ranks together. Beyond it all are
   * forgotten and a new round begins, so that an organisation gains at most one turn.
   */
  private static final int MAXIMUM_SERVED = 1_024;

  private final Map<Optional<String>, PriorityQueue<AdmissionRequest<C>>> queuesByOrganisation =
      new LinkedHashMap<>();
  private final Map<Integer, Set<Optional<String>>> servedByRank = new HashMap<>();

  // -- queries

  boolean isEmpty() {
    return queuesByOrganisation.isEmpty();
  }

  int size() {
    return queuesByOrganisation.values().stream().mapToInt(PriorityQueue::size).sum();
  }

  /** Returns all queued requests in no particular order. */
  Stream<AdmissionRequest<C>> stream() {
    return queuesByOrganisation.values().stream().flatMap(PriorityQueue::stream);
  }

  /** Returns the request to run next, empty if none is queued. */
  Optional<AdmissionRequest<C>> peek() {
    return queuesByOrganisation.values().stream().map(PriorityQueue::peek).min(headOrder());
  }

  /** Returns the request to run next of those that match, empty if none does. */
  private Optional<AdmissionRequest<C>> peek(Predicate<AdmissionRequest<C>> predicate) {
    Optional<AdmissionRequest<C>> first = peek();
    if (first.isEmpty() || predicate.test(first.get())) {
      return first;
    }
    return queuesByOrganisation.values().stream()
        .flatMap(
            queue -> queue.stream().filter(predicate).min(AdmissionRequest.queueOrder()).stream())
        .min(headOrder());
  }

  /**
   * Returns how many queued requests would run before the given request if it were queued and no
   * others arrived.
   */
  long countAhead(AdmissionRequest<?> request) {
    requireNonNull(request, "request is null");
    PriorityQueue<AdmissionRequest<C>> own =
        queuesByOrganisation.getOrDefault(request.organisation(), new PriorityQueue<>());
    long round =
        request.organisation().isEmpty() ? 0 : firstRound(request) + countDueBefore(own, request);
    return queuesByOrganisation.values().stream()
        .mapToLong(queue -> countAhead(queue, request, round))
        .sum();
  }

  /** Returns how many requests of one organisation run before a request of the given round. */
  private long countAhead(
      PriorityQueue<AdmissionRequest<C>> queue, AdmissionRequest<?> request, long round) {
    Optional<String> organisation = queue.peek().organisation();
    long inHigherRanks =
        queue.stream().filter(queued -> queued.priority() < request.priority()).count();
    long roundsBefore = round - firstRound(request.priority(), organisation);
    long inRank = countInRank(queue, request.priority());
    if (organisation.isEmpty()) {
      return inHigherRanks + (roundsBefore > 0 ? inRank : countDueBefore(queue, request));
    }
    long inEarlierRounds = Math.min(Math.max(0, roundsBefore), inRank);
    boolean isAheadInRound =
        !organisation.equals(request.organisation())
            && roundsBefore >= 0
            && countDueBefore(queue, request) > roundsBefore;
    return inHigherRanks + inEarlierRounds + (isAheadInRound ? 1 : 0);
  }

  /** Returns how many of the requests have the rank of the given one and are due no later. */
  private static <C> long countDueBefore(
      PriorityQueue<AdmissionRequest<C>> queue, AdmissionRequest<?> request) {
    return queue.stream()
        .filter(queued -> queued.priority() == request.priority())
        .filter(queued -> !queued.deadline().isAfter(request.deadline()))
        .count();
  }

  private Comparator<AdmissionRequest<C>> headOrder() {
    return Comparator.<AdmissionRequest<C>>comparingInt(AdmissionRequest::priority)
        .thenComparingLong(this::firstRound)
        .thenComparing(AdmissionRequest::deadline);
  }

  private long firstRound(AdmissionRequest<?> request) {
    return firstRound(request.priority(), request.organisation());
  }

  /** Returns the round of an organisation's first request in a rank: 0 now, 1 after a turn. */
  private long firstRound(int rank, Optional<String> organisation) {
    boolean isServed = servedByRank.getOrDefault(rank, Set.of()).contains(organisation);
    return organisation.isPresent() && isServed ? 1 : 0;
  }

  /** Returns the queued requests in the order in which they are to run. */
  List<AdmissionRequest<C>> inOrder() {
    FairQueue<C> copy = copy();
    List<AdmissionRequest<C>> ordered = new ArrayList<>();
    for (Optional<AdmissionRequest<C>> next = copy.poll(); next.isPresent(); next = copy.poll()) {
      copy.recordStart(next.get());
      ordered.add(next.get());
    }
    return ordered;
  }

  /**
   * Returns whether a request would be the one to drop if it were queued and the queue too long.
   */
  boolean wouldDrop(AdmissionRequest<?> request) {
    // Any queued call can stand for that of the request, because the order does not depend on it.
    Optional<C> anyCall = stream().map(AdmissionRequest::call).findFirst();
    return anyCall
        .map(
            call ->
                new AdmissionRequest<>(
                    call,
                    request.priority(),
                    request.route(),
                    request.softDeadline(),
                    request.deadline(),
                    request.organisation()))
        .map(this::isDroppedFromCopy)
        .orElse(true);
  }

  private boolean isDroppedFromCopy(AdmissionRequest<C> request) {
    FairQueue<C> copy = copy();
    copy.add(request);
    return copy.removeLast().equals(request);
  }

  private FairQueue<C> copy() {
    FairQueue<C> copy = new FairQueue<>();
    stream().forEach(copy::add);
    servedByRank.forEach((rank, served) -> copy.servedByRank.put(rank, new HashSet<>(served)));
    return copy;
  }

  // -- updates

  void add(AdmissionRequest<C> request) {
    requireNonNull(request, "request is null");
    queuesByOrganisation
        .computeIfAbsent(
            request.organisation(), unused -> new PriorityQueue<>(AdmissionRequest.queueOrder()))
        .add(request);
  }

  /**
   * Removes and returns the request to run next, empty if none is queued. Its organisation has used
   * its turn only when {@link #recordStart} follows, so a request that is refused takes no turn.
   */
  Optional<AdmissionRequest<C>> poll() {
    return poll(request -> true);
  }

  /** Does the same as {@link #poll()} among the requests that match. */
  Optional<AdmissionRequest<C>> poll(Predicate<AdmissionRequest<C>> predicate) {
    Optional<AdmissionRequest<C>> next = peek(predicate);
    next.ifPresent(
        request -> {
          queuesByOrganisation.get(request.organisation()).remove(request);
          removeEmptyQueues();
        });
    return next;
  }

  /** Records that a request that {@link #poll} returned runs. */
  void recordStart(AdmissionRequest<C> request) {
    if (firstRound(request) > 0) {
      // The polled request is the first in order, so all that wait in its rank have been served.
      servedByRank.remove(request.priority());
    }
    if (servedByRank.values().stream().mapToInt(Set::size).sum() >= MAXIMUM_SERVED) {
      servedByRank.clear();
    }
    servedByRank
        .computeIfAbsent(request.priority(), unused -> new HashSet<>())
        .add(request.organisation());
  }

  /**
   * Removes and returns the request to drop when the queue is too long: in the lowest rank, the
   * last request of the organisation that has the most requests there. Among organisations with
   * equally many, one that has been served in this round loses its request first, then the one
   * whose request has the latest deadline.
   */
  AdmissionRequest<C> removeLast() {
    int lowestRank = stream().mapToInt(AdmissionRequest::priority).max().orElseThrow();
    PriorityQueue<AdmissionRequest<C>> queue =
        queuesByOrganisation.values().stream()
            .filter(candidate -> countInRank(candidate, lowestRank) > 0)
            .max(
                Comparator.<PriorityQueue<AdmissionRequest<C>>>comparingLong(
                        candidate -> countInRank(candidate, lowestRank))
                    .thenComparingLong(
                        candidate -> firstRound(lowestRank, candidate.peek().organisation()))
                    .thenComparing(candidate -> last(candidate).deadline()))
            .orElseThrow();
    AdmissionRequest<C> dropped = last(queue);
    queue.remove(dropped);
    removeEmptyQueues();
    return dropped;
  }

  private static <C> long countInRank(PriorityQueue<AdmissionRequest<C>> queue, int rank) {
    return queue.stream().filter(request -> request.priority() == rank).count();
  }

  private static <C> AdmissionRequest<C> last(PriorityQueue<AdmissionRequest<C>> queue) {
    return queue.stream().max(AdmissionRequest.queueOrder()).orElseThrow();
  }

  /** Removes the requests that match. Returns whether there were any. */
  boolean removeIf(Predicate<AdmissionRequest<C>> predicate) {
    requireNonNull(predicate, "predicate is null");
    int sizeBefore = size();
    queuesByOrganisation.values().forEach(queue -> queue.removeIf(predicate));
    removeEmptyQueues();
    return size() < sizeBefore;
  }

  void clear() {
    queuesByOrganisation.clear();
  }

  private void removeEmptyQueues() {
    queuesByOrganisation.values().removeIf(PriorityQueue::isEmpty);
  }
}
