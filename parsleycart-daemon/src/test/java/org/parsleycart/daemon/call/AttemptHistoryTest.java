package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.daemon.call.AttemptResult.Fault;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.WarmUpState;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.UpstreamLoad;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.model.document.JsonDocuments;

class AttemptHistoryTest {
  private static final Instant START = Instant.EPOCH;
  private static final Instant END = START.plusMillis(40);
  private static final Candidate CANDIDATE =
      new Candidate(
          new AnnouncedUpstream("u0", "ledger", "v1", 4, false),
          "10.0.0.1:7402",
          "marka",
          "10.0.0.1:7401");

  private final AttemptHistory history = new AttemptHistory();

  private void start() {
    UpstreamLoad load = new UpstreamLoadTable().of(CANDIDATE);
    load.recordReport(new LoadReport(3, 4, WarmUpState.WARM), START.minus(Duration.ofMillis(250)));
    history.recordStart(AttemptRecord.of(CANDIDATE, load, "abdali", START));
  }

  private List<String> lines() {
    return history.toLogFields().map(fields -> JsonDocuments.format(fields.build())).toList();
  }

  @Test
  void shouldReportChoiceAndAgeOfLoad() {
    start();
    history.recordEnd(
        new AttemptResult(AttemptOutcome.ANSWERED, true, Fault.NONE, OptionalInt.of(200)),
        RefusalReason.NO_UPSTREAM,
        END);

    assertThat(lines())
        .containsExactly(
            "{\"upstream\":\"u0\",\"daemon\":\"10.0.0.1:7401\",\"zone\":\"marka\","
                + "\"choice\":\"other-zone\",\"outstandingCalls\":3,\"milliseconds\":40,"
                + "\"outcome\":\"answered\",\"loadAgeMilliseconds\":250,\"status\":200}");
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"NONE"},
      mode = EnumSource.Mode.EXCLUDE)
  void shouldNameFaultAndLeaveOutStatusWhenThereIsNone(Fault fault) {
    start();
    history.recordEnd(
        AttemptResult.undelivered(AttemptOutcome.UNKNOWN, fault), RefusalReason.NO_UPSTREAM, END);

    assertThat(lines().get(0))
        .contains("\"outcome\":\"unknown\"", "\"fault\":\"" + fault + "\"")
        .doesNotContain("\"status\"");
  }

  @ParameterizedTest
  @EnumSource(RefusalReason.class)
  void shouldNameReasonWhenAttemptWasRefused(RefusalReason reason) {
    start();
    history.recordEnd(AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.NONE), reason, END);

    assertThat(lines().get(0)).contains("\"outcome\":\"not-run\"", "\"reason\":\"" + reason + "\"");
  }

  @Test
  void shouldKeepAttemptsInOrderAndLeaveOutOneThatIsRunning() {
    start();
    history.recordEnd(
        AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.LATE),
        RefusalReason.NO_UPSTREAM,
        END);
    start();

    assertThat(lines()).hasSize(1);
  }
}
