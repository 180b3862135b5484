package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/**
 * Load: downloads arrive beside short reads at an upstream with idle slots, and their responses are
 * half as much again as the link of the VM carries.
 *
 * <p>Guards against a queue at the link, in which short responses and new connections wait until
 * other daemons take the VM for failed and leave its slots idle.
 */
class LongResponsesOnFullLinkTest {
  private static final long LINK_BYTES_PER_SECOND = 1_250_000;
  private static final long DOWNLOAD_BYTES = 90_000;
  private static final long READ_BYTES = 2_000;
  private static final Duration DOWNLOAD_TIME = Duration.ofMillis(150);
  private static final Duration READ_TIME = Duration.ofMillis(40);
  private static final Duration DOWNLOAD_INTERVAL = Duration.ofMillis(50);
  private static final Duration READ_INTERVAL = Duration.ofMillis(20);
  private static final Duration TEST_TIME = Duration.ofSeconds(10);

  /** The time within which a connection to a daemon must be open. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparing(Event::at));
  private Instant linkFreeAt = Instant.EPOCH;
  private Duration longestLinkWait = Duration.ZERO;
  private int downloads;

  private record Event(Instant at, Runnable action) {}

  private record Call(String route, long bytes, Duration time) {
    private static final Call DOWNLOAD = new Call("download", DOWNLOAD_BYTES, DOWNLOAD_TIME);
    private static final Call READ = new Call("read", READ_BYTES, READ_TIME);
  }

  private void schedule(Duration delay, Runnable action) {
    events.add(new Event(clock.instant().plus(delay), action));
  }

  private void arrive(AdmissionControl<Call> admission, Call call, Duration interval) {
    Instant deadline = clock.instant().plusSeconds(2);
    int rank = call.equals(Call.DOWNLOAD) ? 2 : 1;
    apply(
        admission,
        admission.offer(new AdmissionRequest<>(call, rank, call.route(), deadline, deadline)));
    if (clock.instant().isBefore(Instant.EPOCH.plus(TEST_TIME))) {
      schedule(interval, () -> arrive(admission, call, interval));
    }
  }

  private void apply(AdmissionControl<Call> admission, AdmissionDecision<Call> decision) {
    decision.admitted().stream()
        .map(AdmissionRequest::call)
        .forEach(call -> schedule(call.time(), () -> end(admission, call)));
  }

  /** The slot is free when the response has been handed over to the link. */
  private void end(AdmissionControl<Call> admission, Call call) {
    Duration wait = Duration.between(clock.instant(), linkFreeAt);
    Instant start = wait.isNegative() ? clock.instant() : linkFreeAt;
    longestLinkWait = wait.compareTo(longestLinkWait) > 0 ? wait : longestLinkWait;
    linkFreeAt = start.plusNanos(call.bytes() * 1_000_000_000 / LINK_BYTES_PER_SECOND);
    downloads += call.equals(Call.DOWNLOAD) ? 1 : 0;
    admission.recordResponseSize(call.route(), call.bytes());
    apply(admission, admission.recordAnswer(call.route(), call.time()));
  }

  private void run(OptionalLong linkBytesPerSecond) {
    AdmissionControl<Call> admission =
        new AdmissionControl<>(new AdmissionSettings(2, 64, true, linkBytesPerSecond), 8, clock);
    schedule(Duration.ZERO, () -> arrive(admission, Call.DOWNLOAD, DOWNLOAD_INTERVAL));
    schedule(Duration.ZERO, () -> arrive(admission, Call.READ, READ_INTERVAL));
    while (!events.isEmpty()) {
      Event next = events.poll();
      clock.setInstant(next.at());
      next.action().run();
    }
  }

  @Test
  void shouldNotLetResponsesWaitForFullLinkUntilConnectionsTimeOut() {
    run(OptionalLong.of(LINK_BYTES_PER_SECOND));

    assertThat(longestLinkWait).isLessThan(CONNECT_TIMEOUT);
    // Half of what the link could carry without any reads.
    assertThat(downloads)
        .isGreaterThan((int) (LINK_BYTES_PER_SECOND / DOWNLOAD_BYTES * TEST_TIME.toSeconds() / 2));
  }

  /** Shows that the load is more than the link carries. */
  @Test
  void shouldFillLinkWhenItsRateIsNotKnown() {
    run(OptionalLong.empty());

    assertThat(longestLinkWait).isGreaterThan(CONNECT_TIMEOUT);
  }
}
