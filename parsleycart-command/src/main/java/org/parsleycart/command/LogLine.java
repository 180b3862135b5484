package org.parsleycart.command;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/**
 * A structured line of a daemon.
 *
 * @param origin what stands before the line, such as the name of a machine, or the file
 * @param time when it was written, as the daemon wrote it
 * @param event what the line tells
 * @param fields all fields
 */
record LogLine(String origin, String time, String event, Document.Mapping fields) {

  LogLine {
    requireNonNull(origin, "origin is null");
    requireNonNull(time, "time is null");
    requireNonNull(event, "event is null");
    requireNonNull(fields, "fields is null");
  }

  /**
   * Parses a line; what stands before its JSON object names its origin.
   *
   * @param source the file, which names the origin of lines with nothing before them
   * @param text the line
   * @return the line, or empty when it is no structured line
   */
  static Optional<LogLine> parse(String source, String text) {
    int begin = text.indexOf('{');
    if (begin < 0) {
      return Optional.empty();
    }
    String prefix = text.substring(0, begin).strip();
    return JsonDocuments.parse(source, text.substring(begin).getBytes(StandardCharsets.UTF_8))
        .toJavaOptional()
        .filter(Document.Mapping.class::isInstance)
        .map(Document.Mapping.class::cast)
        .flatMap(fields -> from(prefix.isEmpty() ? source : prefix, fields));
  }

  private static Optional<LogLine> from(String origin, Document.Mapping fields) {
    return field(fields, "time")
        .flatMap(
            time -> field(fields, "event").map(event -> new LogLine(origin, time, event, fields)));
  }

  // -- queries

  /** Returns the text of a field. */
  Optional<String> field(String name) {
    return field(fields, name);
  }

  private static Optional<String> field(Document.Mapping fields, String name) {
    return Optional.ofNullable(fields.entries().get(name))
        .filter(Document.Scalar.class::isInstance)
        .map(Document.Scalar.class::cast)
        .map(scalar -> String.valueOf(scalar.value()));
  }

  /** Returns whether the line is about a request, or about a call made while it ran. */
  boolean isAbout(String request) {
    return field("request")
        .filter(each -> each.equals(request) || each.startsWith(request + "."))
        .isPresent();
  }

  /** Returns the fields beside time and event, in the order in which they were written. */
  String details() {
    return fields.entries().keySet().stream()
        .filter(name -> !name.equals("time") && !name.equals("event"))
        .map(name -> name + "=" + field(name).orElse("..."))
        .collect(Collectors.joining(" "));
  }
}
