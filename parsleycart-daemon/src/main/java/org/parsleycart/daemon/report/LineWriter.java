package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.link.Threads;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/**
 * Writes structured lines, one JSON object each, from a bounded queue on a separate thread.
 *
 * <p>Adding a line never blocks: lines that do not fit are dropped and counted, and the count is
 * written with the next lines. A slow or closed output delays only the writer thread.
 */
public final class LineWriter implements AutoCloseable {
  /** Interval between writes: long enough to save wake-ups, short enough for readers. */
  private static final Duration WRITE_INTERVAL = Duration.ofMillis(250);

  private final BlockingQueue<Document.Mapping> lines;
  private final PrintStream output;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread thread;
  private volatile boolean isIdle;
  private volatile boolean isStopped;

  // -- construction

  private LineWriter(OutputStream output, int capacity, String name) {
    this.output = new PrintStream(output, false, StandardCharsets.UTF_8);
    this.lines = new ArrayBlockingQueue<>(capacity);
    this.thread = Threads.newDaemonThread(name, this::run);
  }

  /**
   * Starts a writer and its thread.
   *
   * @param capacity the maximum number of queued lines
   * @param name the name of the thread
   */
  public static LineWriter start(OutputStream output, int capacity, String name) {
    requireNonNull(output, "output is null");
    LineWriter writer = new LineWriter(output, capacity, requireNonNull(name, "name is null"));
    writer.thread.start();
    return writer;
  }

  // -- operations

  /** Queues a line without blocking. Returns false if the queue is full and the line is dropped. */
  public boolean add(Document.Mapping line) {
    boolean isAdded = lines.offer(requireNonNull(line, "line is null"));
    if (!isAdded) {
      dropped.incrementAndGet();
    } else if (isIdle) {
      LockSupport.unpark(thread);
    }
    return isAdded;
  }

  private void run() {
    while (!isStopped) {
      awaitLine();
      LockSupport.parkNanos(WRITE_INTERVAL.toNanos());
      writeQueued();
    }
  }

  /** Waits without a timeout, so that a writer without lines uses no processor time. */
  private void awaitLine() {
    isIdle = true;
    while (lines.isEmpty() && !isStopped) {
      LockSupport.park(this);
    }
    isIdle = false;
  }

  private synchronized void writeQueued() {
    List<Document.Mapping> queued = new ArrayList<>();
    lines.drainTo(queued);
    long droppedCount = dropped.getAndSet(0);
    if (droppedCount > 0) {
      queued.add(
          Document.mapping().with("event", "lines-dropped").with("count", droppedCount).build());
    }
    if (!queued.isEmpty()) {
      StringBuilder text = new StringBuilder();
      queued.forEach(line -> text.append(JsonDocuments.format(line)).append('\n'));
      output.print(text);
      output.flush();
    }
  }

  /** Writes the queued lines and stops the thread. */
  @Override
  public void close() {
    isStopped = true;
    LockSupport.unpark(thread);
    writeQueued();
  }
}
