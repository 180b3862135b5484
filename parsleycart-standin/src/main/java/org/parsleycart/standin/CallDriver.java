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
 * Sends calls at a fixed rate, independent of the responses. Measures the latency of each call from
 * the time at which it was due, so that a late start counts as latency.
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
   * @param entries the addresses to which calls are sent in turn, {@code host:port}
   * @param path the path of each request
   * @param timeout the time after which a call counts as failed
   */
  public CallDriver(HttpClient client, List<String> entries, String path, Duration timeout) {
    this.client = requireNonNull(client, "client is null");
    this.entries = List.copyOf(entries);
    this.path = requireNonNull(path, "path is null");
    this.timeout = requireNonNull(timeout, "timeout is null");
  }

  // -- operation

  /** Sends calls from the given number of threads and returns when all have completed. */
  public void run(double callsPerSecond, Duration duration, int threads) {
    long total = (long) (callsPerSecond * duration.toMillis() / 1000);
    long intervalNanoseconds = (long) (TimeUnit.SECONDS.toNanos(1) / callsPerSecond);
    long startNanoseconds = System.nanoTime();
    AtomicLong nextCall = new AtomicLong();
    CountDownLatch done = new CountDownLatch(threads);
    for (int thread = 0; thread < threads; thread++) {
      Threads.newDaemonThread(
              "calling-" + thread,
              () -> {
                sendCalls(nextCall, total, startNanoseconds, intervalNanoseconds);
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

  private void sendCalls(
      AtomicLong nextCall, long total, long startNanoseconds, long intervalNanoseconds) {
    long callNumber = nextCall.getAndIncrement();
    while (callNumber < total) {
      long dueNanoseconds = startNanoseconds + callNumber * intervalNanoseconds;
      long waitNanoseconds = dueNanoseconds - System.nanoTime();
      if (waitNanoseconds > 0) {
        LockSupport.parkNanos(waitNanoseconds);
      }
      sendCall(entries.get((int) (callNumber % entries.size())), dueNanoseconds);
      callNumber = nextCall.getAndIncrement();
    }
  }

  private void sendCall(String entry, long dueNanoseconds) {
    Either<LinkError, HttpResponse> answer =
        client.send(entry, HttpRequest.of("GET", path), timeout);
    long microseconds = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanoseconds);
    latencies.recordValue(Math.min(HIGHEST_LATENCY_MICROSECONDS, Math.max(0, microseconds)));
    count(results, answer.fold(error -> "no answer", CallDriver::resultName));
    answer
        .toJavaOptional()
        .flatMap(received -> received.header("X-Parsleycart-Zone"))
        .ifPresent(zone -> count(zones, zone));
  }

  private static String resultName(HttpResponse answer) {
    boolean answered = answer.status() < 400;
    String outcome = answer.header("X-Parsleycart-Outcome").orElse("direct");
    return answered ? "answered" : outcome + " " + answer.status();
  }

  private static void count(Map<String, LongAdder> counts, String key) {
    counts.computeIfAbsent(key, unused -> new LongAdder()).increment();
  }

  // -- results

  /** Returns a copy of the histogram of latencies in microseconds. */
  public Histogram latencies() {
    return latencies.copy();
  }

  /** Returns the number of calls by result. */
  public Map<String, Long> results() {
    return sums(results);
  }

  /** Returns the number of calls by the zone that answered. */
  public Map<String, Long> zones() {
    return sums(zones);
  }

  /** Returns the counts by result and zone, and the latency percentiles, as a document. */
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
