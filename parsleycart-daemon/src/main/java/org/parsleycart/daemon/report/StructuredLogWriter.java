package org.parsleycart.daemon.report;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.parsleycart.model.document.Document;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/** Writes the entries of the logging library, which report changes of state, as JSON lines. */
public final class StructuredLogWriter implements Writer {
  private static final int MAXIMUM_QUEUED_LINES = 1024;

  private final LineWriter lines =
      LineWriter.start(new FileOutputStream(FileDescriptor.out), MAXIMUM_QUEUED_LINES, "log");

  // -- construction

  /** Creates a writer. The logging library calls this constructor; the properties are unused. */
  public StructuredLogWriter(Map<String, String> properties) {}

  // -- Writer

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.CLASS,
        LogEntryValue.MESSAGE,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    String className = entry.getClassName();
    Document.MappingBuilder line =
        Document.mapping()
            .with("time", entry.getTimestamp().toInstant().toString())
            .with("event", "state")
            .with("level", entry.getLevel().toString())
            .with("source", className.substring(className.lastIndexOf('.') + 1))
            .with("message", entry.getMessage() == null ? "" : entry.getMessage());
    if (entry.getException() != null) {
      line.with("exception", entry.getException().toString());
      StackTraceElement[] trace = entry.getException().getStackTrace();
      line.with("at", trace.length == 0 ? "" : trace[0].toString());
    }
    lines.add(line.build());
  }

  @Override
  public void flush() {}

  @Override
  public void close() {
    lines.close();
  }
}
