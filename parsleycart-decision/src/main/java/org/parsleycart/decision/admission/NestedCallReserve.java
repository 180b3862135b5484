package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Keeps a slot of an upstream for calls that upstreams of the same service make while they run
 * other calls. Without it, calls that wait for nested calls of their own service can occupy all
 * slots of the service, so that none of them ends before its deadline.
 *
 * <p>The slot is kept only while such calls arrive. Not thread-safe; callers hold the lock of the
 * owning {@link AdmissionControl}.
 */
final class NestedCallReserve {
  /** Longer than the pauses between nested calls of an upstream that is busy with them. */
  private static final Duration RESERVE_TIME = Duration.ofSeconds(2);

  private static final int RESERVED_SLOTS = 1;

  private Optional<Instant> lastNestedCallAt = Optional.empty();

  // -- events

  void recordOffer(AdmissionRequest<?> request, Instant now) {
    requireNonNull(request, "request is null");
    if (request.isNestedInService()) {
      lastNestedCallAt = Optional.of(now);
    }
  }

  // -- decision

  /**
   * Removes and returns the next queued request that may start, empty if there is none.
   *
   * @param running the number of calls that run
   * @param limit the number of calls that may run at once
   */
  <C> Optional<AdmissionRequest<C>> pollStartable(
      FairQueue<C> queue, int running, int limit, Instant now) {
    if (running >= limit) {
      return Optional.empty();
    }
    return running < limit - reservedSlots(limit, now)
        ? queue.poll()
        : queue.pollFirst(AdmissionRequest::isNestedInService);
  }

  private int reservedSlots(int limit, Instant now) {
    boolean isReserving =
        lastNestedCallAt.filter(at -> now.isBefore(at.plus(RESERVE_TIME))).isPresent();
    return isReserving && limit > RESERVED_SLOTS ? RESERVED_SLOTS : 0;
  }
}
