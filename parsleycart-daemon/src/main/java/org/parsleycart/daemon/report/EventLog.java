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
 * The recent changes of state that operators follow: configuration versions in force at this
 * daemon, withdrawn and returned zones, and the progress of rollouts. Thread-safe.
 */
public final class EventLog {
  private static final int MAXIMUM_EVENTS = 512;
  private static final long MAXIMUM_WAIT_MILLISECONDS = 30_000;

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

  public EventLog(InstantSource clock) {
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Records a new configuration in force, and each rollout that differs from the previous one. */
  public void recordConfigurationChange(Configuration before, Configuration after) {
    append("configuration", "version " + after.version(), "in force here");
    after.rollouts().stream()
        .filter(rollout -> !before.rollout(rollout.name()).equals(Optional.of(rollout)))
        .forEach(
            rollout -> append("rollout-" + rollout.phase(), rollout.name(), describe(rollout)));
  }

  /** Records that a zone was withdrawn or returned. */
  public void recordZoneChange(String zone, boolean isWithdrawn, String cause) {
    append(isWithdrawn ? "zone-withdrawn" : "zone-returned", zone, cause);
  }

  /** Appends an event, removes the oldest one if there are too many, and wakes up all readers. */
  public synchronized void append(String kind, String subject, String text) {
    events.addLast(new Event(++lastNumber, clock.millis(), kind, subject, text));
    if (events.size() > MAXIMUM_EVENTS) {
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
   * Returns the events after a given event, and the number of the last event.
   *
   * @param number the number of the last event already received, zero for none
   * @param waitMilliseconds how long to wait for a first event; at most 30 seconds are waited
   */
  public synchronized Document.Mapping eventsAfter(long number, long waitMilliseconds) {
    long boundedWait = Math.min(MAXIMUM_WAIT_MILLISECONDS, waitMilliseconds);
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(boundedWait);
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
