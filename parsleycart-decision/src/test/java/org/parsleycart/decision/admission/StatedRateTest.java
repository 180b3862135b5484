package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/**
 * Guards against an upstream that gets more calls than the rate that it states in its answers, from
 * all daemons together. Daemons of fleets of several sizes send calls at random to one upstream, by
 * way of the daemon beside it, which restarts; the stated rate changes and goes away.
 */
class StatedRateTest {
  /** The window over which the users count, and what they allow in it. */
  private static final Duration WINDOW = Duration.ofSeconds(4);

  private static final double ALLOWED_FACTOR = 1.5;
  private static final int ALLOWED_EXTRA = 5;

  /** The time that daemons have to take up a rate. */
  private static final Duration TAKE_UP_TIME = Duration.ofSeconds(3);

  private static final int SLOTS = 18;
  private static final AdmissionSettings SETTINGS = new AdmissionSettings(2, 64, true);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration DAY = Duration.ofSeconds(24);
  private static final Duration RATE_CHANGES_AT = Duration.ofSeconds(9);
  private static final Duration RATE_ENDS_AT = Duration.ofSeconds(18);

  private record Event(Instant at, long number, Runnable action) {}

  /** Simulates one day of one upstream on virtual time. */
  private static final class Simulation {
    private final MutableClock clock = MutableClock.of(START, ZoneOffset.UTC);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private final List<Instant> starts = new ArrayList<>();
    private final Random random;
    private final double firstRate;
    private final double secondRate;
    private final Duration meanLatency;
    private AdmissionControl<Integer> admission = new AdmissionControl<>(SETTINGS, SLOTS, clock);
    private boolean isDaemonUp = true;
    private long eventCount;

    private Simulation(long seed, double firstRate, double secondRate, Duration meanLatency) {
      this.random = new Random(seed);
      this.firstRate = firstRate;
      this.secondRate = secondRate;
      this.meanLatency = meanLatency;
    }

    private void schedule(Duration delay, Runnable action) {
      events.add(new Event(clock.instant().plus(delay), eventCount++, action));
    }

    /** Lets a daemon send calls at random, which it does not while it is cut off. */
    private void addDaemon(double callsPerSecond, boolean isCutOff) {
      Duration pause = exponential(Duration.ofNanos((long) (1e9 / callsPerSecond)));
      schedule(
          pause,
          () -> {
            if (!isCutOff || !isWithinCut()) {
              offer();
            }
            addDaemon(callsPerSecond, isCutOff);
          });
    }

    private boolean isWithinCut() {
      Duration time = Duration.between(START, clock.instant());
      return time.compareTo(Duration.ofSeconds(5)) > 0 && time.compareTo(Duration.ofSeconds(8)) < 0;
    }

    private void offer() {
      if (isDaemonUp) {
        Instant deadline = clock.instant().plusMillis(800);
        take(admission.offer(new AdmissionRequest<>(1, 1, "lookup", deadline, deadline)));
      }
    }

    private void take(AdmissionDecision<Integer> decision) {
      AdmissionControl<Integer> admittedBy = admission;
      decision
          .admitted()
          .forEach(
              admitted -> {
                starts.add(clock.instant());
                Duration latency = exponential(meanLatency);
                schedule(latency, () -> answer(admittedBy, latency));
              });
    }

    private void answer(AdmissionControl<Integer> admittedBy, Duration latency) {
      admittedBy.recordStatedRate(statedRate(clock.instant()));
      AdmissionDecision<Integer> decision = admittedBy.recordAnswer("lookup", latency);
      if (admittedBy.equals(admission)) {
        take(decision);
      }
    }

    private void restartDaemon() {
      isDaemonUp = false;
      schedule(
          Duration.ofSeconds(1),
          () -> {
            isDaemonUp = true;
            admission = AdmissionControl.besideRunningUpstream(SETTINGS, SLOTS, clock);
          });
    }

    private OptionalDouble statedRate(Instant at) {
      Duration time = Duration.between(START, at);
      if (time.compareTo(RATE_ENDS_AT) >= 0) {
        return OptionalDouble.empty();
      }
      return OptionalDouble.of(time.compareTo(RATE_CHANGES_AT) < 0 ? firstRate : secondRate);
    }

    private Duration exponential(Duration mean) {
      return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) * mean.toNanos()));
    }

    private void run() {
      while (events.peek().at().isBefore(START.plus(DAY))) {
        Event next = events.poll();
        clock.setInstant(next.at());
        next.action().run();
      }
    }

    private long startsWithin(Duration from, Duration to) {
      return starts.stream()
          .filter(at -> !at.isBefore(START.plus(from)) && at.isBefore(START.plus(to)))
          .count();
    }

    /** Returns the largest rate that daemons may still apply at a time. */
    private double allowedRate(Instant at) {
      return IntStream.rangeClosed(0, (int) TAKE_UP_TIME.toMillis() / 500)
          .mapToObj(step -> at.minusMillis(step * 500L))
          .filter(time -> !time.isBefore(START))
          .mapToDouble(time -> statedRate(time).orElse(0))
          .max()
          .orElse(0);
    }

    private long allowedFrom(Instant from) {
      double calls =
          IntStream.range(0, (int) WINDOW.toMillis() / 100)
              .mapToObj(step -> from.plusMillis(step * 100L))
              .mapToDouble(time -> allowedRate(time) * 0.1)
              .sum();
      return (long) Math.floor(calls * ALLOWED_FACTOR) + ALLOWED_EXTRA;
    }
  }

  private static Simulation simulate(
      long seed, int daemons, double firstRate, double secondRate, int latencyMilliseconds) {
    Simulation simulation =
        new Simulation(seed, firstRate, secondRate, Duration.ofMillis(latencyMilliseconds));
    double offeredPerSecond = Math.max(200, 3 * firstRate);
    IntStream.range(0, daemons)
        .forEach(index -> simulation.addDaemon(offeredPerSecond / daemons, index % 3 == 0));
    return simulation;
  }

  @Provide
  Arbitrary<Integer> fleetSizes() {
    return Arbitraries.of(12, 95, 300);
  }

  @Property(tries = 60, seed = "29")
  void shouldStartNoMoreThanTheStatedRateWhenDaemonsOfAFleetSendMore(
      @ForAll("fleetSizes") int daemons,
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.5, max = 120) double firstRate,
      @ForAll @DoubleRange(min = 0.5, max = 120) double secondRate,
      @ForAll @IntRange(min = 20, max = 400) int latencyMilliseconds,
      @ForAll @IntRange(min = 4000, max = 16_000) int restartAtMilliseconds) {
    Simulation simulation = simulate(seed, daemons, firstRate, secondRate, latencyMilliseconds);
    simulation.schedule(Duration.ofMillis(restartAtMilliseconds), simulation::restartDaemon);

    simulation.run();

    Instant lastWindow = START.plus(RATE_ENDS_AT).minus(WINDOW);
    simulation.starts.stream()
        .filter(from -> !from.isBefore(START.plus(TAKE_UP_TIME)) && from.isBefore(lastWindow))
        .forEach(
            from -> {
              Duration begin = Duration.between(START, from);
              assertThat(simulation.startsWithin(begin, begin.plus(WINDOW)))
                  .as("starts within 4 s from %s", begin)
                  .isLessThanOrEqualTo(simulation.allowedFrom(from));
            });
  }

  @Property(tries = 20, seed = "29")
  void shouldUseTheStatedRateWhenDaemonsSendMore(
      @ForAll("fleetSizes") int daemons,
      @ForAll long seed,
      @ForAll @DoubleRange(min = 5, max = 100) double rate) {
    Simulation simulation = simulate(seed, daemons, rate, rate, 50);

    simulation.run();

    assertThat((double) simulation.startsWithin(TAKE_UP_TIME, RATE_CHANGES_AT))
        .isGreaterThan(0.8 * rate * RATE_CHANGES_AT.minus(TAKE_UP_TIME).toSeconds());
  }

  @Test
  void shouldStartEveryCallWhenTheRateIsNoLongerStated() {
    Simulation simulation = simulate(7, 12, 10, 10, 20);

    simulation.run();

    assertThat(simulation.startsWithin(Duration.ofSeconds(20), DAY)).isGreaterThan(4 * 150);
  }

  @Test
  void shouldNoticeThatTheRateIsNoLongerStatedWhenItWasZero() {
    Simulation simulation = simulate(7, 12, 0, 0, 20);

    simulation.run();

    assertThat(simulation.startsWithin(TAKE_UP_TIME, RATE_ENDS_AT)).isLessThanOrEqualTo(5 * 4);
    assertThat(simulation.startsWithin(Duration.ofSeconds(21), DAY)).isGreaterThan(3 * 150);
  }

  @Test
  void shouldRefuseWithItsOwnReasonAndReportTheRateAsLoadWhenTheRateIsUsedUp() {
    Simulation simulation = simulate(7, 12, 10, 10, 100);
    simulation.run();
    AdmissionControl<Integer> admission = new AdmissionControl<>(SETTINGS, SLOTS, simulation.clock);
    Instant deadline = simulation.clock.instant().plusSeconds(1);
    AdmissionRequest<Integer> request = new AdmissionRequest<>(1, 1, "lookup", deadline, deadline);
    admission.offer(request);
    admission.recordStatedRate(OptionalDouble.of(20));
    admission.recordAnswer("lookup", Duration.ofMillis(100));
    IntStream.range(0, SLOTS).forEach(unused -> admission.offer(request));

    assertThat(admission.offer(request).refusals())
        .extracting(AdmissionDecision.Refusal::reason)
        .containsExactly(RefusalReason.RATE_LIMITED);
    assertThat(admission.load().limit()).isEqualTo(2);
  }
}
