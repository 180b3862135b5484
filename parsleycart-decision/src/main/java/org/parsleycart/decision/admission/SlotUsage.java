package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Sums up who uses the slots of one upstream: for each route the time for which its calls occupied
 * slots, the time for which they waited for one, and the refusals. A window ends with the first
 * event at least one second after it began, so that an upstream without calls reports nothing.
 *
 * <p>Thread-safe.
 */
public final class SlotUsage {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  /** Bounds the routes of one window; the calls of further routes are not counted. */
  private static final int MAXIMUM_ROUTES = 32;

  private final Map<String, RouteUsage> usageByRoute = new TreeMap<>();
  private Optional<Instant> windowStart = Optional.empty();

  /**
   * The usage by the calls of one route.
   *
   * @param ended the calls that ended
   * @param busy the time for which these calls occupied a slot, in total
   * @param waited the time for which these calls waited for a slot, in total
   * @param refused the calls that were refused
   */
  public record RouteUsage(int ended, Duration busy, Duration waited, int refused) {
    public RouteUsage {
      requireNonNull(busy, "busy is null");
      requireNonNull(waited, "waited is null");
    }

    private RouteUsage plus(RouteUsage other) {
      return new RouteUsage(
          ended + other.ended,
          busy.plus(other.busy),
          waited.plus(other.waited),
          refused + other.refused);
    }
  }

  /**
   * The usage in one window.
   *
   * @param length the time from the first event of the window to the first one after it
   */
  public record Window(Duration length, Map<String, RouteUsage> usageByRoute) {

    public Window {
      requireNonNull(length, "length is null");
      usageByRoute = new TreeMap<>(usageByRoute);
    }

    /** Returns whether any call had to wait for a slot, or was refused. */
    public boolean isContended() {
      return usageByRoute.values().stream()
          .anyMatch(usage -> usage.refused() > 0 || !usage.waited().isZero());
    }
  }

  // -- events

  /**
   * Records a call that ended after it occupied a slot.
   *
   * @param waited from its arrival to its start
   * @param busy from its start to its end
   * @return the window that has ended with this event, which belongs to the next one
   */
  public synchronized Optional<Window> recordEnd(
      String route, Duration waited, Duration busy, Instant now) {
    return record(route, new RouteUsage(1, busy, waited, 0), now);
  }

  /**
   * Records a refusal.
   *
   * @return the window that has ended with this event, which belongs to the next one
   */
  public synchronized Optional<Window> recordRefusal(String route, Instant now) {
    return record(route, new RouteUsage(0, Duration.ZERO, Duration.ZERO, 1), now);
  }

  private Optional<Window> record(String route, RouteUsage usage, Instant now) {
    requireNonNull(route, "route is null");
    Optional<Window> ended = endWindow(now);
    if (usageByRoute.containsKey(route) || usageByRoute.size() < MAXIMUM_ROUTES) {
      usageByRoute.merge(route, usage, RouteUsage::plus);
    }
    return ended;
  }

  private Optional<Window> endWindow(Instant now) {
    Instant start = windowStart.orElse(now);
    windowStart = Optional.of(start);
    Duration length = Duration.between(start, now);
    if (length.compareTo(WINDOW) < 0) {
      return Optional.empty();
    }
    Window window = new Window(length, usageByRoute);
    usageByRoute.clear();
    windowStart = Optional.of(now);
    return Optional.of(window);
  }
}
