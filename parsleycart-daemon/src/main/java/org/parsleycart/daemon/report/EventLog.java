package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.document.Document;

/**
 * The recent changes of state that operators watch: configuration versions in force here, zones
 * withdrawn and returned, rollouts moved, done and taken back. Safe for use by several threads.
 */
public final class EventLog {
  private static final int KEPT_EVENTS = 512;
  private static final long LONGEST_WAIT_MILLISECONDS = 30_000;

  private final InstantSource clock;
  private final Deque<Event> events = new ArrayDeque<>();
  private long lastNumber;

  private record Event(long number, long at, String kind, String subject, String text) {
    Document.Mapping toDocument() {
      return Document.mapping()
          .with("number", number)
          .with("at", at)
          .with("kind", kind)
          .with("subject", subject)
          .with("text", text)
          .build();
    }
  }

  // -- construction

  /** Creates an empty book. */
  public EventLog(InstantSource clock) {
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Notes what differs between two configurations in force one after the other. */
  public void recordConfigurationChange(Configuration before, Configuration after) {
    append("configuration", "version " + after.version(), "in force here");
    after.rollouts().stream()
        .filter(rollout -> !before.rollout(rollout.name()).equals(Optional.of(rollout)))
        .forEach(
            rollout -> append("rollout-" + rollout.phase(), rollout.name(), describe(rollout)));
  }

  /** Notes that a zone was withdrawn or returned. */
  public void recordZoneChange(String zone, boolean withdrawn, String cause) {
    append(withdrawn ? "zone-withdrawn" : "zone-returned", zone, cause);
  }

  /** Notes an event. */
  public synchronized void append(String kind, String subject, String text) {
    events.addLast(new Event(++lastNumber, clock.millis(), kind, subject, text));
    if (events.size() > KEPT_EVENTS) {
      events.removeFirst();
    }
    notifyAll();
  }

  private static String describe(Rollout rollout) {
    double percent = rollout.sharePerMille() / 10.0;
    String reason = rollout.reason().isEmpty() ? "" : ": " + rollout.reason();
    return "%s has %.1f%% of traffic%s".formatted(rollout.version(), percent, reason);
  }

  // -- queries

  /**
   * Returns the events after a number.
   *
   * @param number the number of the last event seen
   * @param waitMilliseconds how long to wait for one if there is none yet
   */
  public synchronized Document.Mapping eventsAfter(long number, long waitMilliseconds) {
    long bounded = Math.min(LONGEST_WAIT_MILLISECONDS, waitMilliseconds);
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(bounded);
    try {
      long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      while (lastNumber <= number && remaining > 0) {
        wait(remaining);
        remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    List<Document.Mapping> found =
        events.stream().filter(event -> event.number() > number).map(Event::toDocument).toList();
    return Document.mapping()
        .with("last", lastNumber)
        .with("events", Document.sequence(found))
        .build();
  }
}
