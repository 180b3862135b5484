package org.parsleycart.daemon.report;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.parsleycart.model.document.Document;
import org.threeten.extra.MutableClock;

/** Checks that lines are limited in number and rate, and that a slow output blocks no call. */
class LineWriterTest {
  private static Document.Mapping line(int number) {
    return Document.mapping().with("event", "test").with("number", number).build();
  }

  /** An output that blocks until it is released. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);

    @Override
    public void write(int unused) throws IOException {
      try {
        released.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  @Test
  void shouldDropLinesWithoutBlockingWhenOutputBlocks() {
    BlockedOutput output = new BlockedOutput();
    LineWriter writer = LineWriter.start(output, 10, "test");
    int added = 0;
    for (int index = 0; index < 10_000; index++) {
      added += writer.add(line(index)) ? 1 : 0;
    }

    // Ten lines are queued, and the blocked thread has removed at most ten more.
    assertThat(added).isBetween(10, 20);
    output.released.countDown();
  }

  @Test
  void shouldReportDroppedLinesWhenQueueIsFull() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    LineWriter writer = LineWriter.start(output, 2, "test");
    int added = 0;
    for (int index = 0; index < 1000; index++) {
      added += writer.add(line(index)) ? 1 : 0;
    }
    writer.close();

    String text = output.toString(UTF_8);
    assertThat(text.lines().filter(each -> each.contains("\"event\":\"test\"")).count())
        .isEqualTo(added);
    assertThat(text).contains("\"event\":\"lines-dropped\"");
  }

  @Test
  void shouldLimitLinesPerSecondWhenCallsArriveInBurst() {
    MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    LineWriter writer = LineWriter.start(output, 10_000, "test");
    CallLog log = new CallLog(writer, clock);
    for (int index = 0; index < 5000; index++) {
      log.write("call-ended", "r" + index, Document.mapping().with("status", 503));
    }
    clock.add(Duration.ofSeconds(1));
    log.write("call-ended", "later", Document.mapping().with("status", 503));
    writer.close();

    String text = output.toString(UTF_8);
    assertThat(text.lines().count()).isEqualTo(60 + 1 + 1);
    assertThat(text).contains("{\"time\":\"1970-01-01T00:00:01Z\",\"event\":\"lines-suppressed\"");
    assertThat(text).contains("\"count\":4940", "\"request\":\"r0\"", "\"request\":\"later\"");
  }
}
