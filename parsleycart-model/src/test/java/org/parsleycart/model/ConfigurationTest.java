package org.parsleycart.model;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;

class ConfigurationTest {
  private static final String BASE =
      """
      zones: [{name: abdali, labels: {power: generator-1}}, {name: marka}]
      contracts: [{name: lookup, kind: interactive-read, deadline: 1s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: fittings, pathPrefix: /fittings, service: ledger, contract: lookup}]
      """;

  static Either<List<Problem>, ConfigurationChange> parse(String identifier, String yaml) {
    return YamlDocuments.parse("test.yaml", yaml)
        .flatMap(document -> ConfigurationChange.from(document, identifier, "tester"));
  }

  private static ConfigurationChange change(String identifier, String yaml) {
    return parse(identifier, yaml).get();
  }

  private static Configuration base() {
    return Configuration.empty().apply(change("base", BASE)).get();
  }

  @Nested
  class Apply {
    @Test
    void shouldAdvanceTheVersionByOneWhenTheChangeIsValid() {
      assertThat(base().version()).isEqualTo(1);
      assertThat(base().versionOf("base")).contains(1L);
    }

    @Test
    void shouldReportEveryViolationWhenReferencesDoNotResolve() {
      ConfigurationChange broken =
          change(
              "broken",
              """
              routes:
                - {name: one, pathPrefix: /one, service: missing, contract: lookup}
                - {name: two, pathPrefix: /two, service: ledger, contract: missing}
              withdrawals: [{name: none, zones: {name: nowhere}}]
              """);

      Either<List<Violation>, Configuration> result = base().apply(broken);

      assertThat(result.getLeft())
          .extracting(violation -> violation.resource().name())
          .containsExactlyInAnyOrder("one", "two", "none");
    }

    @Test
    void shouldRejectARemovalWhenARouteReferencesTheResource() {
      ConfigurationChange removal = change("removal", "remove: {services: [ledger]}");

      assertThat(base().apply(removal).getLeft()).hasSize(1);
    }

    @Test
    void shouldRejectARolloutWhenAnotherOfTheSameServiceIsActive() {
      Configuration first =
          base()
              .apply(
                  change("first", "rollouts: [{name: a, services: {name: ledger}, version: v2}]"))
              .get();

      ConfigurationChange second =
          change("second", "rollouts: [{name: b, services: {name: ledger}, version: v3}]");

      assertThat(first.apply(second).getLeft())
          .extracting(Violation::found)
          .containsExactly("a second active rollout of ledger");
    }

    @Test
    void shouldRejectARouteWhenAnotherHasTheSamePrefix() {
      ConfigurationChange duplicate =
          change(
              "same",
              "routes: [{name: again, pathPrefix: /fittings, service: ledger, contract: lookup}]");

      assertThat(base().apply(duplicate).getLeft())
          .extracting(Violation::found)
          .containsExactly("the host, path prefix and daemons of routes/again");
    }

    @Test
    void shouldRecordTheVersionWhenAZoneIsWithdrawn() {
      Configuration withdrawn =
          base()
              .apply(change("w", "withdrawals: [{name: power, zones: {power: generator-1}}]"))
              .get();

      assertThat(withdrawn.withdrawnZones()).containsExactly("abdali");
      assertThat(withdrawn.zoneChangeVersion("abdali")).isEqualTo(2);
      assertThat(withdrawn.zoneChangeVersion("marka")).isZero();
    }
  }

  @Nested
  class RouteFor {
    @Test
    void shouldChooseTheLongestPrefixOfWholeSegmentsWhenSeveralMatch() {
      Configuration configuration =
          base()
              .apply(
                  change(
                      "more",
                      "routes: [{name: old, pathPrefix: /fittings/old, service: ledger,"
                          + " contract: lookup}]"))
              .get();

      assertThat(configuration.routeFor("/fittings/old/7", java.util.Map.of()))
          .map(Route::name)
          .contains("old");
      assertThat(configuration.routeFor("/fittings/older", java.util.Map.of()))
          .map(Route::name)
          .contains("fittings");
      assertThat(configuration.routeFor("/", java.util.Map.of())).isEmpty();
      assertThat(configuration.routeFor("/fittingsx", java.util.Map.of())).isEmpty();
    }
  }

  @Nested
  class RootRoute {
    @Test
    void shouldMatchThePathWhenNoLongerPrefixMatches() {
      Configuration configuration =
          base()
              .apply(
                  change(
                      "root",
                      "routes: [{name: root, pathPrefix: /, service: ledger, contract: lookup}]"))
              .get();

      assertThat(configuration.routeFor("/other/x", java.util.Map.of()))
          .map(Route::name)
          .contains("root");
      assertThat(configuration.routeFor("/fittings/1", java.util.Map.of()))
          .map(Route::name)
          .contains("fittings");
    }
  }

  @Nested
  class ToBytes {
    @Test
    void shouldRestoreAnEqualSnapshotWhenItsBytesAreDecoded() {
      Configuration read = Configuration.from(base().toBytes()).get();

      assertThat(read.digest()).isEqualTo(base().digest());
      assertThat(read.versionOf("base")).contains(1L);
      assertThat(read.routes()).hasSize(1).containsExactlyElementsOf(base().routes());
    }
  }

  @Nested
  class Parse {
    @Test
    void shouldReportEveryProblemWithItsLineWhenTheFileIsMalformed() {
      List<Problem> problems =
          parse(
                  "x",
                  """
                  routes:
                    - name: Bad Name
                      pathPrefix: nowhere
                      contrakt: lookup
                  contracts:
                    - {name: c, kind: sometimes, deadline: soon}
                  """)
              .getLeft();

      assertThat(problems)
          .extracting(problem -> problem.location().line() + " " + problem.location().path())
          .contains(
              "2 routes[0].name",
              "3 routes[0].pathPrefix",
              "4 routes[0].contrakt",
              "6 contracts[0].kind",
              "6 contracts[0].deadline");
    }
  }
}
