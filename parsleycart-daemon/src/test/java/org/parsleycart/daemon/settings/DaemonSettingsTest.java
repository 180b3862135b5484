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
}
