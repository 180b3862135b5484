package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What became of requests at one process of an upstream. Daemons disseminate it among themselves.
 *
 * @param event what happened to the process
 * @param process the identifier and start of the process
 * @param requests the fingerprints of the requests that it ran
 * @param age the time since it happened
 */
public record RequestEvidence(Event event, String process, Set<Long> requests, Duration age) {

  /** What happened to a process while it ran requests, or after. */
  public enum Event {
    /** The process ended while it ran the requests. */
    ENDED("ended"),
    /** The process ran the requests and answered them. */
    ANSWERED("answered");

    private final String label;

    Event(String label) {
      this.label = label;
    }

    /** Returns the event with the given label, or empty if there is none. */
    public static Optional<Event> ofLabel(String label) {
      return Stream.of(values()).filter(event -> event.label.equals(label)).findFirst();
    }

    @Override
    public String toString() {
      return label;
    }
  }

  /** What evidence is about; later evidence on the same subject adds requests to it. */
  public record Subject(Event event, String process) {}

  // -- construction

  public RequestEvidence {
    requireNonNull(event, "event is null");
    requireNonNull(process, "process is null");
    requests = Set.copyOf(requests);
    requireNonNull(age, "age is null");
  }

  /** Creates evidence of what has just happened. */
  public static RequestEvidence of(Event event, String process, Collection<Long> requests) {
    return new RequestEvidence(event, process, Set.copyOf(requests), Duration.ZERO);
  }

  // -- queries

  public Subject subject() {
    return new Subject(event, process);
  }
}
