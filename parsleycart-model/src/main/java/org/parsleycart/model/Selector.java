package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * A condition on labels: each label must have the given value. An empty selector matches
 * everything.
 *
 * <pre>{@code
 * Selector.of(Map.of("power", "generator-1")).matches(zone.labels())
 * }</pre>
 *
 * @param labels the required labels and their values
 */
public record Selector(Map<String, String> labels) {
  private static final Selector ALL = new Selector(Map.of());

  // -- construction

  public Selector {
    requireNonNull(labels, "labels is null");
    labels = Collections.unmodifiableMap(new TreeMap<>(labels));
  }

  /** Returns a selector that requires the given labels. */
  public static Selector of(Map<String, String> labels) {
    return new Selector(labels);
  }

  /** Returns the selector that matches everything. */
  public static Selector all() {
    return ALL;
  }

  /** Reads the selector under the key; a missing key matches everything. */
  static Selector from(MappingReader reader, String key) {
    return new Selector(reader.texts(key));
  }

  // -- queries

  /** Returns whether the given labels satisfy this selector. */
  public boolean matches(Map<String, String> candidate) {
    requireNonNull(candidate, "candidate is null");
    return labels.entrySet().stream()
        .allMatch(required -> required.getValue().equals(candidate.get(required.getKey())));
  }

  /** Adds this selector to a document, unless it matches everything. */
  Document.MappingBuilder addTo(Document.MappingBuilder builder, String key) {
    return builder.withTexts(key, labels);
  }

  // -- Object

  @Override
  public String toString() {
    return labels.isEmpty() ? "everything" : labels.toString();
  }
}
