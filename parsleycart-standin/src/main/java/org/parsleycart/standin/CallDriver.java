package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.Threads;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.model.document.Document;

/**
 * Sends calls at a fixed rate whatever the answers do, and measures each from the moment at which
 * it was due.
 */
public final class CallDriver {
  private static final long HIGHEST_LATENCY_MICROSECONDS = TimeUnit.MINUTES.toMicros(1);
  private static final int PRECISION_DIGITS = 3;

  private final HttpClient client;
  private final List<String> entries;
  private final String path;
  private final Duration timeout;
  private final Histogram latencies =
      new SynchronizedHistogram(HIGHEST_LATENCY_MICROSECONDS, PRECISION_DIGITS);
  private final Map<String, LongAdder> results = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> zones = new ConcurrentHashMap<>();

  // -- construction

  /**
   * Creates a driver.
   *
   * @param client sends the calls
   * @param entries the addresses that calls go to in turn, {@code host:port}
   * @param path the path called
   * @param timeout after which a call counts as failed
   */
  public CallDriver(HttpClient client, List<String> entries, String path, Duration timeout) {
    this.client = requireNonNull(client, "client is null");
    this.entries = List.copyOf(entries);
    this.path = requireNonNull(path, "path is null");
    this.timeout = requireNonNull(timeout, "timeout is null");
  }

  // -- operation

  /** Sends calls at the given rate for the given time, from the given number of threads. */
  public void run(double callsPerSecond, Duration duration, int threads) {
    long total = (long) (callsPerSecond * duration.toMillis() / 1000);
    long interval = (long) (TimeUnit.SECONDS.toNanos(1) / callsPerSecond);
    long start = System.nanoTime();
    AtomicLong next = new AtomicLong();
    CountDownLatch done = new CountDownLatch(threads);
    for (int thread = 0; thread < threads; thread++) {
      Threads.newDaemonThread(
              "calling-" + thread,
              () -> {
                sendAll(next, total, start, interval);
                done.countDown();
              })
          .start();
    }
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendAll(AtomicLong next, long total, long start, long interval) {
    long number = next.getAndIncrement();
    while (number < total) {
      long due = start + number * interval;
      long wait = due - System.nanoTime();
      if (wait > 0) {
        LockSupport.parkNanos(wait);
      }
      sendOne(entries.get((int) (number % entries.size())), due);
      number = next.getAndIncrement();
    }
  }

  private void sendOne(String entry, long due) {
    Either<LinkError, HttpResponse> answer =
        client.send(entry, HttpRequest.of("GET", path), timeout);
    long microseconds = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due);
    latencies.recordValue(Math.min(HIGHEST_LATENCY_MICROSECONDS, Math.max(0, microseconds)));
    count(results, answer.fold(error -> "no answer", CallDriver::describe));
    answer
        .toJavaOptional()
        .flatMap(received -> received.header("X-Parsleycart-Zone"))
        .ifPresent(zone -> count(zones, zone));
  }

  private static String describe(HttpResponse answer) {
    boolean answered = answer.status() < 400;
    String outcome = answer.header("X-Parsleycart-Outcome").orElse("direct");
    return answered ? "answered" : outcome + " " + answer.status();
  }

  private static void count(Map<String, LongAdder> counts, String key) {
    counts.computeIfAbsent(key, unused -> new LongAdder()).increment();
  }

  // -- results

  /** Returns the latencies in microseconds. */
  public Histogram latencies() {
    return latencies.copy();
  }

  /** Returns how often each result came. */
  public Map<String, Long> results() {
    return sums(results);
  }

  /** Returns how often each zone answered. */
  public Map<String, Long> zones() {
    return sums(zones);
  }

  /** Returns the results as a document. */
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder = Document.mapping();
    results().forEach(builder::with);
    zones().forEach((zone, count) -> builder.with("zone " + zone, count));
    return builder
        .with("medianMicroseconds", latencies.getValueAtPercentile(50))
        .with("p99Microseconds", latencies.getValueAtPercentile(99))
        .build();
  }

  private static Map<String, Long> sums(Map<String, LongAdder> counts) {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach((key, adder) -> sums.put(key, adder.sum()));
    return sums;
  }
}
