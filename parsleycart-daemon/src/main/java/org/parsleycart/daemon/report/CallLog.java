package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.parsleycart.model.document.Document;

/**
 * One structured line for each decision that touches a request: its end at the entry, and its
 * refusal beside an upstream.
 *
 * <p>Calls that failed come before calls that went well: of the latter one in some is written, and
 * all lines share a rate that does not grow with the load. Safe for use by several threads.
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

  /** Creates a log that writes to the given lines. */
  public CallLog(LineWriter lines, InstantSource clock) {
    this.lines = requireNonNull(lines, "lines is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Returns whether the line of a call that went well is to be written this time. */
  public boolean isSuccessSampled() {
    return ordinary.incrementAndGet() % ORDINARY_CALLS_PER_LINE == 0;
  }

  /**
   * Writes a line.
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
