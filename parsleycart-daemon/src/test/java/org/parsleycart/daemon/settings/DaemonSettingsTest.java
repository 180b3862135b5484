package org.parsleycart.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.parsleycart.model.document.Problem;

class DaemonSettingsTest {
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
}
