package org.parsleycart.daemon.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.parsleycart.decision.membership.DepartedProcess;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.store.Row;
import org.tinylog.Logger;

/** The stored form of departures: {@code {"departed":[{"id":"i-1","born":1733400000000}]}}. */
final class DepartureRow {
  private static final String DEPARTED = "departed";
  private static final String IDENTIFIER = "id";
  private static final String STARTED_AT = "born";

  private DepartureRow() {}

  static byte[] format(List<DepartedProcess> departed) {
    List<Document.Mapping> items =
        departed.stream()
            .map(
                process ->
                    Document.mapping()
                        .with(IDENTIFIER, process.identifier())
                        .with(STARTED_AT, process.startedAt())
                        .build())
            .toList();
    return JsonDocuments.format(Document.mapping().with(DEPARTED, Document.sequence(items)).build())
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the departures in a row, none if the row cannot be read. */
  static List<DepartedProcess> parse(Row row) {
    return MappingReader.read(
            JsonDocuments.parse(row.key(), row.value()),
            reader ->
                reader.nestedItems(DEPARTED).stream()
                    .map(
                        item ->
                            new DepartedProcess(
                                item.requiredText(IDENTIFIER),
                                item.requiredNumber(STARTED_AT, 0, Long.MAX_VALUE)))
                    .toList())
        .peekLeft(
            problems ->
                Logger.warn(
                    "row {} at revision {} cannot be read and holds no departures: {}",
                    row.key(),
                    row.revision(),
                    problems))
        .getOrElse(List.of());
  }
}
