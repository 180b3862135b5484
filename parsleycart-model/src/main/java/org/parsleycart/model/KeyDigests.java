package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * An immutable set of key digests. It is packed into one array of 16 bytes for each digest, because
 * a configuration may hold 100,000 keys.
 */
public final class KeyDigests {
  private static final KeyDigests NONE = new KeyDigests(new long[0]);
  private static final int WORDS = 2;
  private static final String SEPARATOR = " ";

  /**
   * Digests are written in groups: a document with a text for each of 100,000 digests takes several
   * times the memory of the digests.
   */
  private static final int DIGESTS_PER_TEXT = 64;

  /** Two words for each digest, in ascending order of the digests, without duplicates. */
  private final long[] words;

  // -- construction

  private KeyDigests(long[] words) {
    this.words = words;
  }

  /** Returns the set without digests. */
  public static KeyDigests none() {
    return NONE;
  }

  /** Creates a set; repeated digests count once. */
  public static KeyDigests of(Collection<KeyDigest> digests) {
    requireNonNull(digests, "digests is null");
    return new KeyDigests(
        digests.stream()
            .sorted()
            .distinct()
            .flatMapToLong(each -> LongStream.of(each.high(), each.low()))
            .toArray());
  }

  /**
   * Reads a list of keys and keeps their digests. Problems name the organisation and contain no
   * part of a key.
   *
   * @param field the name of the list
   * @param organisation the name of the organisation, used in problems
   */
  public static KeyDigests fromKeys(MappingReader reader, String field, String organisation) {
    return read(
        reader,
        field,
        key -> Stream.of(KeyDigest.ofKey(key)),
        "keys of organisation \"%s\" of which one is empty, too long or no text"
            .formatted(organisation),
        "texts of 1 to %d bytes".formatted(KeyDigest.MAXIMUM_KEY_BYTES));
  }

  /** Reads a list of digests in hexadecimal form; a text may hold several, separated by spaces. */
  static KeyDigests fromDigests(MappingReader reader, String field, String organisation) {
    return read(
        reader,
        field,
        text -> Arrays.stream(text.split(SEPARATOR, -1)).map(KeyDigest::parse),
        "malformed key digests of organisation \"%s\"".formatted(organisation),
        "SHA-256 digests, whole or the first 128 bits, as hexadecimal digits");
  }

  private static KeyDigests read(
      MappingReader reader,
      String field,
      Function<String, Stream<Optional<KeyDigest>>> conversion,
      String found,
      String expected) {
    Optional<Document> node = reader.document(field);
    if (node.isEmpty()) {
      return NONE;
    }
    // The items are not read as texts by the reader, whose problems quote the value found.
    List<Optional<KeyDigest>> digests =
        node.get() instanceof Document.Sequence list
            ? list.items().stream()
                .flatMap(
                    item -> text(item).map(conversion).orElseGet(() -> Stream.of(Optional.empty())))
                .toList()
            : List.of(Optional.empty());
    if (digests.stream().anyMatch(Optional::isEmpty)) {
      reader.report(field, found, "a list of " + expected);
    }
    return of(digests.stream().flatMap(Optional::stream).toList());
  }

  private static Optional<String> text(Document item) {
    return item instanceof Document.Scalar scalar && scalar.value() instanceof String text
        ? Optional.of(text)
        : Optional.empty();
  }

  /** Returns the digests of both sets. */
  KeyDigests union(KeyDigests other) {
    return of(Stream.concat(stream(), other.stream()).toList());
  }

  // -- queries

  /** Returns the number of digests. */
  public int size() {
    return words.length / WORDS;
  }

  /** Returns the digests in ascending order. */
  Stream<KeyDigest> stream() {
    return IntStream.range(0, size()).mapToObj(this::get);
  }

  KeyDigest get(int position) {
    return new KeyDigest(words[WORDS * position], words[WORDS * position + 1]);
  }

  /**
   * Returns whether a digest is at the position. The time does not depend on how many bits of the
   * digests are equal.
   */
  boolean isAt(int position, KeyDigest digest) {
    long difference =
        (words[WORDS * position] ^ digest.high()) | (words[WORDS * position + 1] ^ digest.low());
    return difference == 0;
  }

  // -- conversion

  Document.Sequence toDocument() {
    return Document.texts(
        IntStream.iterate(0, first -> first < size(), first -> first + DIGESTS_PER_TEXT)
            .mapToObj(this::textFrom)
            .toList());
  }

  private String textFrom(int first) {
    return IntStream.range(first, Math.min(size(), first + DIGESTS_PER_TEXT))
        .mapToObj(position -> get(position).toHexadecimal())
        .collect(Collectors.joining(SEPARATOR));
  }

  // -- Object

  @Override
  public boolean equals(Object other) {
    return other instanceof KeyDigests digests && Arrays.equals(words, digests.words);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(words);
  }

  /** Returns a text without the digests, so that they do not appear in logs. */
  @Override
  public String toString() {
    return size() + " keys";
  }
}
