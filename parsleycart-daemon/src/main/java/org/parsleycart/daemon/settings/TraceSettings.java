package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.parsleycart.model.document.MappingReader;

/**
 * The settings of the export of spans.
 *
 * @param file the file to which spans are written as lines of JSON, or empty to write none
 * @param samplePerMille the share of the traces started here that are recorded, in thousandths
 */
public record TraceSettings(Optional<String> file, int samplePerMille) {
  private static final int MAXIMUM_SAMPLE_PER_MILLE = 1000;
  private static final long DEFAULT_SAMPLE_PER_MILLE = 10;

  // -- construction

  public TraceSettings {
    requireNonNull(file, "file is null");
  }

  static TraceSettings from(MappingReader reader) {
    TraceSettings settings =
        new TraceSettings(
            reader.text("file"),
            reader
                .number("samplePerMille", 0, MAXIMUM_SAMPLE_PER_MILLE)
                .orElse(DEFAULT_SAMPLE_PER_MILLE)
                .intValue());
    reader.reportUnknownKeys();
    return settings;
  }
}
