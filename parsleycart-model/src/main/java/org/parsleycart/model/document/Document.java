package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A tree of mappings, sequences and scalars. Every node has a location in its source.
 *
 * <pre>{@code
 * Document.Mapping zone = Document.mapping().with("name", "abdali").build();
 * }</pre>
 */
public sealed interface Document {

  /** Returns the location of this node in its source. */
  SourceLocation location();

  /** Returns a short description of this node for messages, such as {@code "a list"}. */
  String description();

  /** A node with named entries, in the order of the source. */
  record Mapping(SourceLocation location, Map<String, Document> entries) implements Document {

    public Mapping {
      requireNonNull(location, "location is null");
      entries = Collections.unmodifiableMap(new LinkedHashMap<>(entries));
    }

    @Override
    public String description() {
      return "a mapping";
    }
  }

  /** A node with ordered items. */
  record Sequence(SourceLocation location, List<Document> items) implements Document {

    public Sequence {
      requireNonNull(location, "location is null");
      items = List.copyOf(items);
    }

    @Override
    public String description() {
      return "a list";
    }
  }

  /** A leaf: a {@code String}, a {@code Long}, a {@code Double} or a {@code Boolean}. */
  record Scalar(SourceLocation location, Object value) implements Document {

    public Scalar {
      requireNonNull(location, "location is null");
      requireNonNull(value, "value is null");
    }

    @Override
    public String description() {
      return value instanceof String ? "\"" + value + "\"" : value.toString();
    }
  }

  // -- construction

  /** Returns a builder of a mapping that is created in memory and has no source file. */
  static MappingBuilder mapping() {
    return new MappingBuilder();
  }

  /** Creates a sequence in memory. */
  static Sequence sequence(List<? extends Document> items) {
    return new Sequence(SourceLocation.ofRoot("memory"), new ArrayList<>(items));
  }

  /** Creates a sequence of texts in memory. */
  static Sequence texts(Iterable<String> values) {
    List<Document> items = new ArrayList<>();
    values.forEach(value -> items.add(scalar(value)));
    return sequence(items);
  }

  /** Creates a scalar in memory; integers are widened to {@code Long}. */
  static Scalar scalar(Object value) {
    Object widened = value instanceof Integer number ? Long.valueOf(number) : value;
    return new Scalar(SourceLocation.ofRoot("memory"), widened);
  }

  /** Builds a mapping in memory. */
  final class MappingBuilder {
    private final Map<String, Document> entries = new LinkedHashMap<>();

    private MappingBuilder() {}

    /** Adds a scalar entry. */
    public MappingBuilder with(String key, Object value) {
      return with(key, scalar(value));
    }

    /** Adds an entry. */
    public MappingBuilder with(String key, Document value) {
      entries.put(key, value);
      return this;
    }

    /** Adds a mapping of texts, unless it is empty. */
    public MappingBuilder withTexts(String key, Map<String, String> values) {
      if (values.isEmpty()) {
        return this;
      }
      MappingBuilder nested = new MappingBuilder();
      values.forEach(nested::with);
      return with(key, nested.build());
    }

    public Mapping build() {
      return new Mapping(SourceLocation.ofRoot("memory"), entries);
    }
  }
}
