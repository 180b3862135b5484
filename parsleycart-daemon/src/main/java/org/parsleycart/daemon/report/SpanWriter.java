package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.parsleycart.link.BoundedQueue;
import org.parsleycart.link.Threads;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/**
 * Writes ended spans as lines of JSON on a separate thread. Spans that do not fit into the bounded
 * queue are dropped and counted.
 */
public final class SpanWriter implements SpanProcessor {
  private static final int QUEUE_CAPACITY = 1024;
  private static final long POLL_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

  private final BufferedWriter writer;
  private final BoundedQueue<SpanData> queue = new BoundedQueue<>(QUEUE_CAPACITY);
  private final Thread thread;
  private volatile boolean isStopped;

  // -- construction

  private SpanWriter(BufferedWriter writer) {
    this.writer = writer;
    this.thread = Threads.newDaemonThread("reporting-spans", this::run);
  }

  /**
   * Opens a writer that appends to a file.
   *
   * @throws IOException if the file cannot be opened for writing
   */
  public static SpanWriter open(String file) throws IOException {
    requireNonNull(file, "file is null");
    BufferedWriter writer =
        Files.newBufferedWriter(
            Path.of(file),
            StandardCharsets.UTF_8,
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
    SpanWriter spanWriter = new SpanWriter(writer);
    spanWriter.thread.start();
    return spanWriter;
  }

  // -- writing

  private void run() {
    while (!isStopped) {
      queue.poll(POLL_TIMEOUT_NANOSECONDS).ifPresent(this::write);
    }
    Optional<SpanData> remaining = queue.poll();
    while (remaining.isPresent()) {
      write(remaining.get());
      remaining = queue.poll();
    }
  }

  private void write(SpanData span) {
    Document.MappingBuilder line =
        Document.mapping()
            .with("trace", span.getTraceId())
            .with("span", span.getSpanId())
            .with("parent", span.getParentSpanId())
            .with("name", span.getName())
            .with("kind", span.getKind().toString())
            .with("startNanoseconds", span.getStartEpochNanos())
            .with("durationNanoseconds", span.getEndEpochNanos() - span.getStartEpochNanos());
    span.getAttributes().forEach((key, value) -> line.with(key.getKey(), value.toString()));
    try {
      writer.write(JsonDocuments.format(line.build()));
      writer.newLine();
      writer.flush();
    } catch (IOException e) {
      isStopped = true;
    }
  }

  /** Returns the number of spans dropped because the queue was full. */
  public long dropped() {
    return queue.rejectedCount();
  }

  // -- SpanProcessor

  @Override
  public void onStart(Context parentContext, ReadWriteSpan span) {
    // Only ended spans are written.
  }

  @Override
  public boolean isStartRequired() {
    return false;
  }

  @Override
  public void onEnd(ReadableSpan span) {
    if (span.getSpanContext().isSampled()) {
      queue.offer(span.toSpanData());
    }
  }

  @Override
  public boolean isEndRequired() {
    return true;
  }

  @Override
  public CompletableResultCode shutdown() {
    isStopped = true;
    try {
      thread.join(TimeUnit.SECONDS.toMillis(1));
      writer.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      return CompletableResultCode.ofFailure();
    }
    return CompletableResultCode.ofSuccess();
  }
}
