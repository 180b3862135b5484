package org.parsleycart.command;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/**
 * A structured log line of a daemon.
 *
 * @param origin the text before the JSON object, such as a host name, or else the file name
 * @param time the time at which the line was written, in the text form of the log
 * @param event the kind of event that the line records
 * @param fields all fields, including time and event
 */
record LogLine(String origin, String time, String event, Document.Mapping fields) {

  LogLine {
    requireNonNull(origin, "origin is null");
    requireNonNull(time, "time is null");
    requireNonNull(event, "event is null");
    requireNonNull(fields, "fields is null");
  }

  /**
   * Parses a line. Text before its JSON object becomes the origin.
   *
   * @param source the name of the file, which is the origin of lines without such text
   * @return the line, or empty if it is not a structured line
   */
  static Optional<LogLine> parse(String source, String text) {
    int jsonStart = text.indexOf('{');
    if (jsonStart < 0) {
      return Optional.empty();
    }
    String prefix = text.substring(0, jsonStart).strip();
    return JsonDocuments.parse(source, text.substring(jsonStart).getBytes(StandardCharsets.UTF_8))
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

  /** Returns the text of a scalar field, empty if there is none of that name. */
  Optional<String> field(String name) {
    return field(fields, name);
  }

  private static Optional<String> field(Document.Mapping fields, String name) {
    return Optional.ofNullable(fields.entries().get(name))
        .filter(Document.Scalar.class::isInstance)
        .map(Document.Scalar.class::cast)
        .map(scalar -> String.valueOf(scalar.value()));
  }

  /** Returns whether the line is about a request or about a call nested in that request. */
  boolean isAbout(String request) {
    return field("request")
        .filter(identifier -> identifier.equals(request) || identifier.startsWith(request + "."))
        .isPresent();
  }

  /** Returns all fields except time and event, in the order of the line. */
  String details() {
    return fields.entries().keySet().stream()
        .filter(name -> !name.equals("time") && !name.equals("event"))
        .map(name -> name + "=" + field(name).orElse("..."))
        .collect(Collectors.joining(" "));
  }
}
