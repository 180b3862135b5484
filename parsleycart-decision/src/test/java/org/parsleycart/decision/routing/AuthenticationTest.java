package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.KeyDigest;
import org.parsleycart.model.KeyDigests;
import org.parsleycart.model.Organisation;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Route;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;
import org.parsleycart.model.UpstreamBounds;
import org.parsleycart.model.WeightedService;

class AuthenticationTest {
  private static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);
  private static final RevocationPolicy STRICT = new RevocationPolicy(true, MAXIMUM_AGE);
  private static final RevocationPolicy LENIENT = RevocationPolicy.lenient();
  private static final Optional<Duration> NEVER = Optional.empty();
  private static final Optional<Duration> RECENT = Optional.of(MAXIMUM_AGE);
  private static final Optional<Duration> OLD = Optional.of(MAXIMUM_AGE.plusMillis(1));

  private static Organisation organisation(String name, String... keys) {
    return new Organisation(
        name,
        KeyDigests.of(Arrays.stream(keys).map(key -> KeyDigest.ofKey(key).orElseThrow()).toList()),
        OptionalInt.empty(),
        OptionalDouble.empty());
  }

  private static Configuration configuration(Organisation... organisations) {
    List<Resource> common =
        List.of(
            new Contract(
                "c", RequestKind.INTERACTIVE_READ, Duration.ofSeconds(1), Duration.ofSeconds(1), 2),
            new Service("s", Optional.empty(), Duration.ZERO, UpstreamBounds.none(), Map.of()),
            route("closed", false),
            route("open", true));
    Collection<Resource> all =
        Stream.concat(common.stream(), Arrays.stream(organisations)).toList();
    return Configuration.of(1, all).get();
  }

  private static Route route(String name, boolean isPublic) {
    return new Route(
        name,
        Optional.empty(),
        "/" + name,
        List.of(WeightedService.single("s")),
        "c",
        Selector.all(),
        isPublic);
  }

  private static String authenticate(Configuration configuration, String route, String key) {
    return authenticate(configuration, route, key, RECENT, LENIENT);
  }

  /** Returns the name of the organisation, {@code none}, or the reason for the refusal. */
  private static String authenticate(
      Configuration configuration,
      String route,
      String key,
      Optional<Duration> age,
      RevocationPolicy revocation) {
    Either<RefusalReason, Optional<Organisation>> result =
        Authentication.authenticate(
            configuration,
            configuration.route(route).orElseThrow(),
            Optional.ofNullable(key),
            age,
            revocation);
    return result.fold(
        RefusalReason::toString, accepted -> accepted.map(Organisation::name).orElse("none"));
  }

  /** Guards against a route that is served without a key, and a public one that is not. */
  @ParameterizedTest
  @CsvSource({
    "closed, key-a, a",
    "closed, key-b, b",
    "closed, key-c, unauthenticated",
    "closed, , unauthenticated",
    "open, key-a, a",
    "open, key-c, none",
    "open, , none"
  })
  void shouldAcceptKnownKeysAndPublicRoutesOnly(String route, String key, String expected) {
    Configuration configuration =
        configuration(organisation("a", "key-a"), organisation("b", "key-b"));

    assertThat(authenticate(configuration, route, key)).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"closed, key-a", "closed, ", "open, key-a"})
  void shouldAcceptEveryRequestWhenThereAreNoOrganisations(String route, String key) {
    assertThat(authenticate(configuration(), route, key, NEVER, STRICT)).isEqualTo("none");
  }

  @Test
  void shouldNeedAKeyWhenTheOnlyOrganisationHasNone() {
    assertThat(authenticate(configuration(organisation("a")), "closed", "key-a"))
        .isEqualTo("unauthenticated");
  }

  /** Guards against a key that outlives the version by which operators have revoked it. */
  @Test
  void shouldRefuseAKeyWhenANewVersionHasRevokedIt() {
    assertThat(authenticate(configuration(organisation("a", "old", "new")), "closed", "old"))
        .isEqualTo("a");
    assertThat(authenticate(configuration(organisation("a", "new")), "closed", "old"))
        .isEqualTo("unauthenticated");
  }

  @Test
  void shouldRefuseRequestsThatNeedAKeyWhenRevocationIsStrictAndTheConfirmationIsOld() {
    Configuration configuration = configuration(organisation("a", "key-a"));

    assertThat(authenticate(configuration, "closed", "key-a", RECENT, STRICT)).isEqualTo("a");
    assertThat(authenticate(configuration, "closed", "key-a", OLD, STRICT))
        .isEqualTo("unconfirmed-configuration");
    assertThat(authenticate(configuration, "closed", "key-a", NEVER, STRICT))
        .isEqualTo("unconfirmed-configuration");
    assertThat(authenticate(configuration, "closed", "unknown", OLD, STRICT))
        .isEqualTo("unconfirmed-configuration");
    assertThat(authenticate(configuration, "open", "key-a", OLD, STRICT)).isEqualTo("a");
    assertThat(authenticate(configuration, "open", null, NEVER, STRICT)).isEqualTo("none");
  }

  @Test
  void shouldServeByTheConfigurationInForceWhenRevocationIsNotStrict() {
    Configuration configuration = configuration(organisation("a", "key-a"));

    assertThat(authenticate(configuration, "closed", "key-a", OLD, LENIENT)).isEqualTo("a");
    assertThat(authenticate(configuration, "closed", "key-a", NEVER, LENIENT)).isEqualTo("a");
    assertThat(authenticate(configuration, "closed", "key-b", OLD, LENIENT))
        .isEqualTo("unauthenticated");
  }

  /** Guards against a caller that repeats a request which cannot succeed, and the reverse. */
  @Test
  void shouldInviteARepeatOnlyWhenTheConfigurationMayBeConfirmedSoon() {
    assertThat(RefusalReason.UNAUTHENTICATED.statusCode()).isEqualTo(401);
    assertThat(RefusalReason.UNAUTHENTICATED.isTemporary()).isFalse();
    assertThat(RefusalReason.UNCONFIRMED_CONFIGURATION.statusCode()).isEqualTo(503);
    assertThat(RefusalReason.UNCONFIRMED_CONFIGURATION.isTemporary()).isTrue();
  }
}
