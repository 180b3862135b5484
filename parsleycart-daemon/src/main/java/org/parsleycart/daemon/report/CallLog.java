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
  /** The lines that a daemon writes in a second at most; about 15 KB. */
  private static final int LINES_PER_SECOND = 60;

  /** One in this many ordinary calls is written, so that failures find room in the rate. */
  private static final long ORDINARY_CALLS_PER_LINE = 200;

  private final LineWriter lines;
  private final InstantSource clock;
  private final AtomicLong ordinary = new AtomicLong();
  private Instant second = Instant.MIN;
  private int written;
  private long suppressed;

  // -- construction

  public CallLog(LineWriter lines, InstantSource clock) {
    this.lines = requireNonNull(lines, "lines is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Counts a successful call, and returns whether it is in the sample to write. */
  public boolean isSuccessSampled() {
    return ordinary.incrementAndGet() % ORDINARY_CALLS_PER_LINE == 0;
  }

  /**
   * Writes a line, unless the limit of lines per second is reached.
   *
   * @param event what was decided
   * @param request the identifier of the request
   * @param fields the inputs that decided and the outcome
   */
  public void write(String event, String request, Document.MappingBuilder fields) {
    requireNonNull(event, "event is null");
    requireNonNull(request, "request is null");
    Instant now = clock.instant();
    if (!takeRate(now)) {
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

  private synchronized boolean takeRate(Instant now) {
    if (Duration.between(second, now).compareTo(Duration.ofSeconds(1)) >= 0) {
      tellSuppressed(now);
      second = now;
      written = 0;
    }
    if (written >= LINES_PER_SECOND) {
      suppressed++;
      return false;
    }
    written++;
    return true;
  }

  private void tellSuppressed(Instant now) {
    if (suppressed > 0) {
      lines.add(
          Document.mapping()
              .with("time", now.toString())
              .with("event", "lines-suppressed")
              .with("count", suppressed)
              .build());
      suppressed = 0;
    }
  }
}
