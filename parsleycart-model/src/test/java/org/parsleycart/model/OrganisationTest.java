package org.parsleycart.model;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.model.document.YamlDocuments;

class OrganisationTest {
  private static final String KEY = "secret-of-pulo";

  /** The SHA-256 digest of {@link #KEY}, computed with {@code printf %s KEY | sha256sum}. */
  private static final String DIGEST =
      "34a4c0771711bff20581292c27cd23a4ac1a7a075709b74215f84cc4a72ec7ec";

  private static final String LONGEST_KEY = "k".repeat(KeyDigest.MAXIMUM_KEY_BYTES);

  private static ConfigurationChange change(String yaml) {
    return ConfigurationTest.parse("change", yaml).get();
  }

  private static Configuration configuration(String organisations) {
    return Configuration.empty().apply(change("organisations: " + organisations)).get();
  }

  private static Optional<String> owner(Configuration configuration, String key) {
    return configuration.organisationOfKey(key).map(Organisation::name);
  }

  @Test
  void shouldFindOrganisationWhenItsKeyIsKnown() {
    Configuration configuration =
        configuration(
            "[{name: pulo780, keys: [secret-of-pulo, second], rank: 0},"
                + " {name: kabo51, keys: [%s]}]".formatted(LONGEST_KEY));

    assertThat(configuration.hasOrganisations()).isTrue();
    assertThat(owner(configuration, KEY)).contains("pulo780");
    assertThat(owner(configuration, "second")).contains("pulo780");
    assertThat(owner(configuration, LONGEST_KEY)).contains("kabo51");
    assertThat(owner(configuration, "secret-of-pul")).isEmpty();
    assertThat(owner(configuration, "")).isEmpty();
    assertThat(owner(configuration, LONGEST_KEY + "k")).isEmpty();
    assertThat(owner(Configuration.empty(), KEY)).isEmpty();
  }

  /** Guards against digests of this build that other tools and builds cannot reproduce. */
  @ParameterizedTest
  @ValueSource(ints = {32, 64})
  void shouldFindOrganisationWhenOperatorsStateTheDigest(int digits) {
    Configuration configuration =
        configuration("[{name: a, keyDigests: [\"%s\"]}]".formatted(DIGEST.substring(0, digits)));

    assertThat(owner(configuration, KEY)).contains("a");
  }

  /** Guards against a key that reaches peers, operators or logs through an encoding or a text. */
  @Test
  void shouldWriteDigestsOnlyWhenKeysWereStatedInPlainText() {
    ConfigurationChange change = change("organisations: [{name: a, keys: [%s]}]".formatted(KEY));
    Configuration configuration = Configuration.empty().apply(change).get();

    assertThat(
            List.of(
                JsonDocuments.format(change.toDocument()),
                YamlDocuments.format(configuration.toDocument()),
                configuration.toString(),
                configuration.organisation("a").toString(),
                change.toString()))
        .noneMatch(text -> text.contains(KEY));
    assertThat(configuration.organisation("a").toString()).doesNotContain(DIGEST.substring(0, 8));
    assertThat(change.toString()).doesNotContain(DIGEST.substring(0, 8));
    Configuration decoded = Configuration.from(configuration.toBytes()).get();
    assertThat(decoded.digest()).isEqualTo(configuration.digest());
    assertThat(owner(decoded, KEY)).contains("a");
  }

  @Test
  void shouldReportTheOrganisationAndNotTheKeyWhenTwoOrganisationsShareIt() {
    Either<List<Violation>, Configuration> result =
        Configuration.empty()
            .apply(
                change(
                    "organisations: [{name: a, keys: [x, %s]}, {name: b, keys: [%s]}]"
                        .formatted(KEY, KEY)));

    assertThat(result.getLeft()).hasSize(1);
    assertThat(result.getLeft().toString())
        .contains("organisations/b", "\"a\"")
        .doesNotContain(KEY, DIGEST.substring(0, 8));
  }

  @Test
  void shouldAcceptAKeyTwiceWhenOneOrganisationStatesIt() {
    Configuration configuration =
        configuration("[{name: a, keys: [x, x], keyDigests: [\"%s\"]}]".formatted(DIGEST));

    assertThat(configuration.organisation("a").orElseThrow().keyDigests().size()).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "keys: [\"\"]",
        "keys: [secret-1, \"\"]",
        "keys: secret-1",
        "keys: [{secret-1: secret-2}]",
        "keys: [[secret-1]]",
        "keys: [1234567]",
        "keys: {secret-1: secret-2}",
        "keyDigests: [secret-1]",
        "keyDigests: [\"00000000000000000000000000000000 secret-1\"]"
      })
  void shouldReportTheOrganisationAndNoPartOfAKeyWhenKeysAreMalformed(String keys) {
    String problems =
        ConfigurationTest.parse("c", "organisations: [{name: pulo780, " + keys + "}]")
            .getLeft()
            .toString();

    assertThat(problems).contains("pulo780").doesNotContain("secret", "1234567");
  }

  @ParameterizedTest
  @ValueSource(strings = {"k", "\u00e4"})
  void shouldReportTheOrganisationWhenAKeyIsTooLong(String character) {
    String key = character.repeat(KeyDigest.MAXIMUM_KEY_BYTES) + "k";

    String problems =
        ConfigurationTest.parse("c", "organisations: [{name: pulo780, keys: [" + key + "]}]")
            .getLeft()
            .toString();

    assertThat(problems).contains("pulo780").doesNotContain(character + "k");
  }

  /** Guards against names that change or split the header in which they are sent. */
  @ParameterizedTest
  @ValueSource(strings = {"\"\"", "\" \"", "\"a\\r\\nb\"", "\" a\"", "\"\\u00e4\""})
  void shouldRejectTheConfigurationWhenANameIsMissingOrUnfitForAHeader(String name) {
    assertThat(
            Configuration.empty()
                .apply(change("organisations: [{name: %s, keys: [k]}]".formatted(name)))
                .isLeft())
        .isTrue();
  }

  @Test
  void shouldRemoveKeysAtomicallyWhenANewVersionDoesNotHoldThem() {
    Configuration before = configuration("[{name: a, keys: [old, new]}, {name: b, keys: [other]}]");

    Configuration after = before.apply(change("organisations: [{name: a, keys: [new]}]\n")).get();
    Configuration afterRemoval = after.apply(change("remove: {organisations: [b]}")).get();

    assertThat(owner(after, "old")).isEmpty();
    assertThat(owner(after, "new")).contains("a");
    assertThat(owner(after, "other")).contains("b");
    assertThat(owner(afterRemoval, "other")).isEmpty();
    assertThat(owner(before, "old")).contains("a");
  }

  @Test
  void shouldRankCallsByOrganisationWhenItHasARank() {
    Contract contract =
        change("contracts: [{name: c, kind: interactive-read, rank: 3}]").upserts().stream()
            .map(Contract.class::cast)
            .findFirst()
            .orElseThrow();

    assertThat(rank(Optional.of(OptionalInt.of(0)), contract)).isZero();
    assertThat(rank(Optional.of(OptionalInt.empty()), contract)).isEqualTo(3);
    assertThat(rank(Optional.empty(), contract)).isEqualTo(3);
  }

  private static int rank(Optional<OptionalInt> rankOfOrganisation, Contract contract) {
    return Organisation.queueRank(
        rankOfOrganisation.map(
            rank -> new Organisation("a", KeyDigests.none(), rank, OptionalDouble.empty())),
        contract);
  }

  @Test
  void shouldKeepTheBytesOfARouteWhenItIsNotPublic() {
    String route = "{name: r, pathPrefix: /r, service: s, contract: c%s}";
    Route implicit = route(route.formatted(""));
    Route explicit = route(route.formatted(", public: false"));

    assertThat(implicit.isPublic()).isFalse();
    assertThat(explicit).isEqualTo(implicit);
    assertThat(implicit.toDocument().entries()).doesNotContainKey("public");
    Route open = route(route.formatted(", public: true"));
    assertThat(open.isPublic()).isTrue();
    assertThat(JsonDocuments.format(open.toDocument())).contains("\"public\":true");
  }

  private static Route route(String yaml) {
    return (Route) change("routes: [" + yaml + "]").upserts().get(0);
  }

  /** Guards against a lookup that fails for some keys of a full table, or finds others. */
  @Test
  void shouldFindEachOf100000KeysAndNoOther() {
    int organisations = 200;
    int keysOfEach = 500;
    List<Organisation> all =
        IntStream.range(0, organisations)
            .mapToObj(
                number ->
                    new Organisation(
                        "o" + number,
                        KeyDigests.of(
                            IntStream.range(0, keysOfEach)
                                .mapToObj(key -> KeyDigest.ofKey(number + "/" + key).orElseThrow())
                                .toList()),
                        OptionalInt.empty(),
                        OptionalDouble.empty()))
            .toList();
    Configuration configuration = Configuration.of(1, all).get();

    assertThat(Configuration.from(configuration.toBytes()).get().digest())
        .isEqualTo(configuration.digest());
    for (int number = 0; number < organisations; number++) {
      for (int key = 0; key < keysOfEach; key++) {
        assertThat(owner(configuration, number + "/" + key)).contains("o" + number);
        assertThat(owner(configuration, number + "-" + key)).isEmpty();
      }
    }
  }
}
