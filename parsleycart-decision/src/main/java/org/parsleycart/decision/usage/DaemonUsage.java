package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.Collectors;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * The counts of one process of a daemon.
 *
 * @param daemon the identifier of the daemon
 * @param incarnation distinguishes the processes of the daemon
 */
public record DaemonUsage(String daemon, long incarnation, List<WindowCounts> windows) {
  private static final String DAEMON = "daemon";
  private static final String INCARNATION = "incarnation";
  private static final String WINDOWS = "windows";
  private static final String WINDOW = "window";
  private static final String COUNTS = "counts";

  // -- construction

  public DaemonUsage {
    requireNonNull(daemon, "daemon is null");
    windows = List.copyOf(windows);
  }

  /** Reads the form written by {@link #write}. */
  public static DaemonUsage read(MappingReader reader) {
    return new DaemonUsage(
        reader.requiredText(DAEMON),
        reader.requiredNumber(INCARNATION, 0, Long.MAX_VALUE),
        reader.nestedItems(WINDOWS).stream().map(DaemonUsage::readWindow).toList());
  }

  private static WindowCounts readWindow(MappingReader reader) {
    MappingReader counts = reader.requiredNested(COUNTS);
    return new WindowCounts(
        reader.requiredNumber(WINDOW, Long.MIN_VALUE, Long.MAX_VALUE),
        reader.texts(COUNTS).keySet().stream()
            .collect(
                Collectors.toMap(
                    name -> name, name -> counts.requiredNumber(name, 0, Long.MAX_VALUE))));
  }

  // -- conversion

  /** Adds the entries to a mapping, for messages and stored rows. */
  public void write(Document.MappingBuilder builder) {
    builder
        .with(DAEMON, daemon)
        .with(INCARNATION, incarnation)
        .with(WINDOWS, Document.sequence(windows.stream().map(DaemonUsage::toDocument).toList()));
  }

  private static Document.Mapping toDocument(WindowCounts window) {
    Document.MappingBuilder counts = Document.mapping();
    window.counts().forEach(counts::with);
    return Document.mapping().with(WINDOW, window.window()).with(COUNTS, counts.build()).build();
  }
}
