package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.parsleycart.model.document.Document;

/**
 * Writes one structured line for each decision on a request: its result at the entry, and its
 * refusal beside an upstream.
 *
 * <p>Failed calls take precedence: only a sample of the successful calls is written. The rate of
 * all lines is limited, independently of the load. Thread-safe.
 */
public final class CallLog {
  /** Limits the output to about 15 KB per second. */
  private static final int MAXIMUM_LINES_PER_SECOND = 60;

  /** Only one in this many successful calls is written, to leave room for failed calls. */
  private static final long SUCCESSFUL_CALLS_PER_LINE = 200;

  private final LineWriter lines;
  private final InstantSource clock;
  private final AtomicLong successfulCalls = new AtomicLong();
  private Instant secondStart = Instant.MIN;
  private int writtenLines;
  private long suppressedLines;

  // -- construction

  public CallLog(LineWriter lines, InstantSource clock) {
    this.lines = requireNonNull(lines, "lines is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Counts a successful call, and returns whether it is in the sample to write. */
  public boolean isSuccessSampled() {
    return successfulCalls.incrementAndGet() % SUCCESSFUL_CALLS_PER_LINE == 0;
  }

  /**
   * Writes a line, unless the limit of lines per second is reached.
   *
   * @param event the kind of decision
   * @param request the identifier of the request
   * @param fields the inputs of the decision and its outcome
   */
  public void write(String event, String request, Document.MappingBuilder fields) {
    requireNonNull(event, "event is null");
    requireNonNull(request, "request is null");
    Instant now = clock.instant();
    if (!tryAcquireLine(now)) {
      return;
    }
    Document.MappingBuilder line =
        Document.mapping()
            .with("time", now.toString())
            .with("event", event)
            .with("request", request);
    fields.build().entries().forEach(line::with);
    lines.add(line.build());
  }

  private synchronized boolean tryAcquireLine(Instant now) {
    if (Duration.between(secondStart, now).compareTo(Duration.ofSeconds(1)) >= 0) {
      writeSuppressedCount(now);
      secondStart = now;
      writtenLines = 0;
    }
    if (writtenLines >= MAXIMUM_LINES_PER_SECOND) {
      suppressedLines++;
      return false;
    }
    writtenLines++;
    return true;
  }

  private void writeSuppressedCount(Instant now) {
    if (suppressedLines > 0) {
      lines.add(
          Document.mapping()
              .with("time", now.toString())
              .with("event", "lines-suppressed")
              .with("count", suppressedLines)
              .build());
      suppressedLines = 0;
    }
  }
}
