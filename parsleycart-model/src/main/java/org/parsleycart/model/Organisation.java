package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * An organisation whose callers identify themselves with keys.
 *
 * @param keyDigests the digests of its keys
 * @param rank the queue rank of its calls, smaller first; overrides the rank of the contract
 * @param callsPerSecond the calls per second that it may make; held, but not enforced
 */
public record Organisation(
    String name, KeyDigests keyDigests, OptionalInt rank, OptionalDouble callsPerSecond)
    implements Resource {
  /** The largest number of calls per second that may be stated. */
  public static final double MAXIMUM_CALLS_PER_SECOND = 1e9;

  private static final String KEYS = "keys";
  private static final String KEY_DIGESTS = "keyDigests";
  private static final String RANK = "rank";
  private static final String CALLS_PER_SECOND = "callsPerSecond";

  /** Names are sent in headers, which hold visible ASCII characters and inner spaces. */
  private static final Pattern NAME_PATTERN = Pattern.compile("[!-~]([ -~]{0,198}[!-~])?");

  // -- construction

  public Organisation {
    requireNonNull(name, "name is null");
    requireNonNull(keyDigests, "keyDigests is null");
    requireNonNull(rank, "rank is null");
    requireNonNull(callsPerSecond, "callsPerSecond is null");
  }

  static Organisation from(MappingReader reader) {
    String name = reader.requiredText("name");
    KeyDigests digests = KeyDigests.fromDigests(reader, KEY_DIGESTS, name);
    KeyDigests digestsOfKeys = KeyDigests.fromKeys(reader, KEYS, name);
    return new Organisation(
        name,
        digestsOfKeys.size() == 0 ? digests : digests.union(digestsOfKeys),
        reader.optionalInt(RANK, 0, Contract.MAXIMUM_RANK),
        reader.decimal(CALLS_PER_SECOND, 0, MAXIMUM_CALLS_PER_SECOND));
  }

  // -- queries

  /**
   * Returns the queue rank of a call: that of the organisation, or of the contract if there is no
   * organisation or it has no rank.
   */
  public static int queueRank(Optional<Organisation> organisation, Contract contract) {
    requireNonNull(organisation, "organisation is null");
    requireNonNull(contract, "contract is null");
    return organisation
        .map(Organisation::rank)
        .orElseGet(OptionalInt::empty)
        .orElseGet(contract::queueRank);
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.ORGANISATION;
  }

  /** Converts this organisation to a document that contains digests and no keys. */
  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping().with("name", name).with(KEY_DIGESTS, keyDigests.toDocument());
    rank.ifPresent(value -> builder.with(RANK, value));
    callsPerSecond.ifPresent(value -> builder.with(CALLS_PER_SECOND, value));
    return builder.build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    Stream<Violation> invalidName =
        NAME_PATTERN.matcher(name).matches()
            ? Stream.empty()
            : Stream.of(
                violation(
                    name.isBlank() ? "no name" : "a name that no header can hold",
                    "a name of 1 to 200 visible ASCII characters"));
    Stream<Violation> sharedKey =
        configuration.earlierOwnerOfKeyOf(this).stream()
            .map(
                other ->
                    violation(
                        "a key that organisation \"" + other + "\" has too",
                        "keys of one organisation only"));
    return Stream.concat(invalidName, sharedKey);
  }
}
