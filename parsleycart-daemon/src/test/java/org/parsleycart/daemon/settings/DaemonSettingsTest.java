package org.parsleycart.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.model.document.Problem;

class DaemonSettingsTest {
  private static final String REVOCATION =
      """
      zone: a
      dialect: %s
      addresses: {callers: "10.0.0.1:1", daemons: "10.0.0.1:2", control: "10.0.0.1:3",
                  operators: "10.0.0.1:4"}
      platform: "10.0.0.2:1"
      peerKeys: [test-key-0123456789]
      platformBounds: [graceS=6, %s]
      """;

  @Test
  void shouldReportEveryProblemWithItsLocationWhenSettingsAreInvalid() {
    List<Problem> problems =
        DaemonSettings.parse(
                "daemon.yaml",
                """
                zone: Abdali!
                addresses:
                  callers: localhost:80
                  daemons: 10.0.0.1:7401
                  control: 10.0.0.1:99999
                platform: somewhere
                peerKeys: [short]
                limits: {queueLength: many, colour: red}
                """)
            .getLeft();

    assertThat(problems)
        .extracting(problem -> problem.location().line() + " " + problem.location().path())
        .containsExactlyInAnyOrder(
            "1 zone",
            "3 addresses.callers",
            "5 addresses.control",
            "3 addresses.operators",
            "6 platform",
            "7 peerKeys",
            "8 limits.queueLength",
            "8 limits.colour");
  }

  @Test
  void shouldReadHowSoonRevokedKeysStopWorking() {
    DaemonSettings settings =
        DaemonSettings.parse(
                "daemon.yaml",
                REVOCATION.formatted("platform", "strictRevocation=true, revokeMs=3000"))
            .get();

    assertThat(settings.revocation()).isEqualTo(new RevocationPolicy(true, Duration.ofSeconds(3)));
  }

  /**
   * Guards against a mistyped bound, against values without names, which had no effect on the
   * users' platform, and against a dialect in which keys would never work.
   */
  @ParameterizedTest
  @CsvSource({
    "platform, 0.2",
    "platform, strictRevocation=TRUE",
    "platform, revokeMs=soon",
    "parsleycart, strictRevocation=true"
  })
  void shouldReportTheBoundWhenStrictRevocationCannotBeKept(String dialect, String bound) {
    assertThat(DaemonSettings.parse("daemon.yaml", REVOCATION.formatted(dialect, bound)).getLeft())
        .extracting(problem -> problem.location().path())
        .containsExactly("platformBounds");
  }

  /** Guards against a misspelt balancing that silently means the default. */
  @Test
  void shouldReportAnUnknownBalancing() {
    List<Problem> problems =
        DaemonSettings.parse("daemon.yaml", "limits: {balancing: expected}\n").getLeft();

    assertThat(problems)
        .filteredOn(problem -> problem.location().path().equals("limits.balancing"))
        .singleElement()
        .satisfies(
            problem -> assertThat(problem.toString()).contains("two-choices or expected-end"));
  }

  private static final String BASE =
      """
      zone: z
      addresses: {callers: "127.0.0.1:1", daemons: "127.0.0.1:2", control: "127.0.0.1:3",
                  operators: "127.0.0.1:4"}
      platform: embedded
      peerKeys: [test-key-0123456789]
      """;

  /** Guards against a daemon that takes part in a duty that the deployment does not ask for. */
  @Test
  void shouldAskForTheUsageDutyOnlyWhenItIsListed() {
    String duty = "duty: {address: \"10.0.0.9:80\", duties: [%s], holder: sidecar-abdali-2}\n";

    assertThat(DaemonSettings.parse("test", BASE).get().usageDuty()).isEmpty();
    assertThat(DaemonSettings.parse("test", BASE + duty.formatted("other")).get().usageDuty())
        .isEmpty();
    assertThat(
            DaemonSettings.parse("test", BASE + duty.formatted("other, usage")).get().usageDuty())
        .hasValueSatisfying(settings -> assertThat(settings.callsPerSecond()).isEqualTo(50));
  }

  @Test
  void shouldReportProblemsOfTheDuty() {
    assertThat(
            DaemonSettings.parse(
                    "test",
                    BASE + "duty: {address: cloud, duties: [usage], callsPerSecond: 0, name: x}\n")
                .getLeft())
        .extracting(problem -> problem.location().path())
        .containsExactlyInAnyOrder(
            "duty.address", "duty.callsPerSecond", "duty.holder", "duty.name");
  }

  /**
   * Guards against connections that leave no descriptors for upstreams, daemons and the platform.
   */
  @Test
  void shouldReportProtectionLimitsThatContradictEachOther() {
    List<Problem> problems =
        DaemonSettings.parse(
                "daemon.yaml",
                """
                zone: abdali
                addresses: {callers: "10.0.0.1:7400", daemons: "10.0.0.1:7401",
                            control: "10.0.0.1:7402", operators: "10.0.0.1:7403"}
                platform: embedded
                peerKeys: [test-key-0123456789]
                limits: {callerConnections: 2001, stallTime: 5s, maximumStallTime: 4s}
                """)
            .getLeft();

    assertThat(problems)
        .extracting(problem -> problem.location().path())
        .containsExactlyInAnyOrder("limits.descriptors", "limits.maximumStallTime");
  }

  /** Guards against bounds on clients that exceed the memory of the process. */
  @Test
  void shouldReportBoundsOnClientsThatTheProcessHasNoMemoryFor() {
    List<Problem> problems =
        DaemonSettings.parse(
                "daemon.yaml",
                """
                zone: abdali
                addresses: {callers: "10.0.0.1:7400", daemons: "10.0.0.1:7401",
                            control: "10.0.0.1:7402", operators: "10.0.0.1:7403"}
                platform: embedded
                peerKeys: [test-key-0123456789]
                limits: {heldBytes: %d, bufferBytes: %d}
                """
                    .formatted(Runtime.getRuntime().maxMemory(), Runtime.getRuntime().maxMemory()))
            .getLeft();

    assertThat(problems)
        .extracting(problem -> problem.location().path())
        .containsExactlyInAnyOrder("limits.heldBytes", "limits.bufferBytes");
  }
}
