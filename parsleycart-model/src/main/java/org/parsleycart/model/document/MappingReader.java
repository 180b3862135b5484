package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads the entries of a mapping and collects all problems instead of stopping at the first.
 *
 * <p>Each read records its key; {@link #reportUnknownKeys()} reports the keys that have not been
 * read. A failed read returns a default value so that reading can continue. Callers must check the
 * list of problems before they use the values.
 */
public final class MappingReader {
  private static final Pattern NAME_PATTERN =
      Pattern.compile("[a-z0-9]([a-z0-9.\\-]{0,61}[a-z0-9])?");
  private static final String NAME_FORMAT =
      "a name of at most 63 lowercase letters, digits, '-' and '.'";

  private final Document.Mapping mapping;
  private final List<Problem> problems;
  private final Set<String> readKeys = new HashSet<>();

  // -- construction

  private MappingReader(Document.Mapping mapping, List<Problem> problems) {
    this.mapping = mapping;
    this.problems = problems;
  }

  /**
   * Creates a reader of the given node.
   *
   * @param document the node, which should be a mapping
   * @param problems the list to which every problem is added
   * @return a reader, of an empty mapping if the node is not a mapping
   */
  public static MappingReader of(Document document, List<Problem> problems) {
    requireNonNull(document, "document is null");
    requireNonNull(problems, "problems is null");
    if (document instanceof Document.Mapping found) {
      return new MappingReader(found, problems);
    }
    problems.add(new Problem(document.location(), document.description(), "a mapping"));
    return new MappingReader(new Document.Mapping(document.location(), Map.of()), problems);
  }

  /**
   * Reads a value from a parsed document.
   *
   * @param parsed the document, or the problems with its syntax
   * @param reading reads the entries; its result is discarded if a problem was found
   * @return the value, or all problems
   */
  public static <T> Either<List<Problem>, T> read(
      Either<List<Problem>, Document> parsed, Function<MappingReader, T> reading) {
    requireNonNull(reading, "reading is null");
    return parsed.flatMap(
        document -> {
          List<Problem> problems = new ArrayList<>();
          T result = reading.apply(of(document, problems));
          return problems.isEmpty()
              ? Either.right(result)
              : Either.<List<Problem>, T>left(List.copyOf(problems));
        });
  }

  /**
   * Creates a reader that accesses the items of a list by keys.
   *
   * @param document the node, which should be a list with as many items as there are keys
   * @param keys the keys of the items in order
   * @param problems the list to which every problem is added
   */
  public static MappingReader ofItems(
      Document document, List<String> keys, List<Problem> problems) {
    requireNonNull(keys, "keys is null");
    if (document instanceof Document.Sequence list && list.items().size() == keys.size()) {
      Map<String, Document> entries = new LinkedHashMap<>();
      keys.forEach(key -> entries.put(key, list.items().get(entries.size())));
      return new MappingReader(new Document.Mapping(document.location(), entries), problems);
    }
    problems.add(new Problem(document.location(), document.description(), "the list " + keys));
    return new MappingReader(new Document.Mapping(document.location(), Map.of()), problems);
  }

  // -- queries

  public SourceLocation location() {
    return mapping.location();
  }

  public boolean has(String key) {
    return mapping.entries().containsKey(key);
  }

  /** Returns the node under the key. */
  public Optional<Document> document(String key) {
    readKeys.add(key);
    return Optional.ofNullable(mapping.entries().get(key));
  }

  /** Returns the text under the key; a number or boolean is converted to text. */
  public Optional<String> text(String key) {
    return scalar(key, "a text", value -> Optional.of(value.toString()));
  }

  /** Returns the text under the key; reports a missing one and returns an empty text. */
  public String requiredText(String key) {
    return required(key, "a text", text(key), "");
  }

  /** Returns the text under the key; reports one that is missing or is a number or boolean. */
  public String requiredString(String key) {
    Optional<String> found =
        scalar(
            key,
            "a text",
            value -> value instanceof String text ? Optional.of(text) : Optional.empty());
    return required(key, "a text", found, "");
  }

  /** Returns the name under the key; reports one that is missing or has an invalid format. */
  public String requiredName(String key) {
    String name = requiredText(key);
    if (!name.isEmpty() && !NAME_PATTERN.matcher(name).matches()) {
      report(key, "\"" + name + "\"", NAME_FORMAT);
    }
    return name;
  }

  /** Returns the whole number under the key; reports one outside of the given bounds. */
  public Optional<Long> number(String key, long minimum, long maximum) {
    String expected = "a whole number from " + minimum + " to " + maximum;
    return scalar(
        key,
        expected,
        value ->
            value instanceof Long number && number >= minimum && number <= maximum
                ? Optional.of(number)
                : Optional.empty());
  }

  /** Returns the result of {@link #number} as an {@code OptionalLong}. */
  public OptionalLong optionalLong(String key, long minimum, long maximum) {
    return number(key, minimum, maximum).stream().mapToLong(Long::longValue).findFirst();
  }

  /** Returns the result of {@link #number} as an {@code OptionalInt}. */
  public OptionalInt optionalInt(String key, int minimum, int maximum) {
    return number(key, minimum, maximum).stream().mapToInt(Long::intValue).findFirst();
  }

  /** Returns the decimal or whole number under the key; reports one outside of the bounds. */
  public OptionalDouble decimal(String key, double minimum, double maximum) {
    String expected = "a number from " + minimum + " to " + maximum;
    return scalar(
            key,
            expected,
            value ->
                value instanceof Number number
                        && number.doubleValue() >= minimum
                        && number.doubleValue() <= maximum
                    ? Optional.of(number.doubleValue())
                    : Optional.empty())
        .stream()
        .mapToDouble(Double::doubleValue)
        .findFirst();
  }

  /** Returns the whole number under the key; reports a missing one and returns the minimum. */
  public long requiredNumber(String key, long minimum, long maximum) {
    return required(key, "a whole number", number(key, minimum, maximum), minimum);
  }

  /** Returns the boolean under the key. */
  public Optional<Boolean> flag(String key) {
    return scalar(
        key,
        "true or false",
        value -> value instanceof Boolean flag ? Optional.of(flag) : Optional.empty());
  }

  /** Returns the duration under the key, such as {@code 250ms}, {@code 2s} or {@code 10m}. */
  public Optional<Duration> duration(String key) {
    return scalar(
        key,
        "a duration above zero such as 250ms, 2s, 10m or 1h",
        value -> Durations.parse(value.toString()));
  }

  /** Returns the duration under the key, which may be zero. */
  public Optional<Duration> durationAllowingZero(String key) {
    return scalar(
        key,
        "a duration such as 0ms, 250ms, 2s, 10m or 1h",
        value -> Durations.parseAllowingZero(value.toString()));
  }

  /** Returns the enum constant whose {@code toString} equals the text under the key. */
  public <E extends Enum<E>> Optional<E> enumConstant(String key, Class<E> type) {
    List<E> constants = List.of(type.getEnumConstants());
    String expected = "one of " + constants.stream().map(Object::toString).toList();
    return scalar(
        key,
        expected,
        value ->
            constants.stream()
                .filter(constant -> constant.toString().equals(value.toString()))
                .findFirst());
  }

  /** Returns the mapping of texts under the key, empty when absent. */
  public Map<String, String> texts(String key) {
    Optional<Document> node = document(key);
    if (node.isEmpty()) {
      return Map.of();
    }
    MappingReader nested = MappingReader.of(node.get(), problems);
    Map<String, String> result = new TreeMap<>();
    nested.mapping.entries().keySet().forEach(each -> result.put(each, nested.requiredText(each)));
    return Collections.unmodifiableMap(result);
  }

  /** Returns a reader of the mapping under the key. */
  public Optional<MappingReader> nested(String key) {
    return document(key).map(node -> MappingReader.of(node, problems));
  }

  /** Returns a reader of the mapping under the key; reports a missing one. */
  public MappingReader requiredNested(String key) {
    Optional<MappingReader> found = nested(key);
    if (found.isEmpty()) {
      report(key, "nothing", "a mapping");
    }
    return found.orElseGet(
        () ->
            new MappingReader(new Document.Mapping(location().child(key, 0), Map.of()), problems));
  }

  /** Returns a reader of each entry of the mapping under the key; empty if there is none. */
  public Map<String, MappingReader> nestedEntries(String key) {
    Map<String, MappingReader> readers = new LinkedHashMap<>();
    if (document(key).orElse(null) instanceof Document.Mapping found) {
      found.entries().forEach((name, node) -> readers.put(name, of(node, problems)));
    }
    return readers;
  }

  /** Returns a reader of each mapping in the list under the key. */
  public List<MappingReader> nestedItems(String key) {
    return items(key, item -> MappingReader.of(item, problems));
  }

  /** Returns the items of the list under the key, each read by the given function. */
  public <T> List<T> items(String key, Function<Document, T> reader) {
    Optional<Document> node = document(key);
    if (node.isEmpty()) {
      return List.of();
    }
    if (node.get() instanceof Document.Sequence sequence) {
      return sequence.items().stream().map(reader).toList();
    }
    problems.add(new Problem(node.get().location(), node.get().description(), "a list"));
    return List.of();
  }

  /** Returns the texts of the list under the key. */
  public List<String> textItems(String key) {
    List<String> result = new ArrayList<>();
    for (Document item : items(key, Function.identity())) {
      if (item instanceof Document.Scalar scalar) {
        result.add(scalar.value().toString());
      } else {
        problems.add(new Problem(item.location(), item.description(), "a text"));
      }
    }
    return result;
  }

  // -- reporting

  /** Reports a problem with the entry under the key. */
  public void report(String key, String found, String expected) {
    Document node = mapping.entries().get(key);
    SourceLocation location =
        node == null ? location().child(key, location().line()) : node.location();
    problems.add(new Problem(location, found, expected));
  }

  /** Reports every key that has not been read. */
  public void reportUnknownKeys() {
    mapping.entries().forEach((key, node) -> reportIfUnknown(key, node.location()));
  }

  private void reportIfUnknown(String key, SourceLocation location) {
    if (!readKeys.contains(key)) {
      String expected = readKeys.stream().sorted().toList().toString();
      problems.add(new Problem(location, "unknown key \"" + key + "\"", "one of " + expected));
    }
  }

  private <T> T required(String key, String expected, Optional<T> value, T defaultValue) {
    if (value.isEmpty() && !has(key)) {
      report(key, "nothing", expected);
    }
    return value.orElse(defaultValue);
  }

  private <T> Optional<T> scalar(String key, String expected, Function<Object, Optional<T>> parse) {
    Optional<Document> node = document(key);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    Optional<T> value =
        node.get() instanceof Document.Scalar scalar
            ? parse.apply(scalar.value())
            : Optional.empty();
    if (value.isEmpty()) {
      report(key, node.get().description(), expected);
    }
    return value;
  }
}
