package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.admission.CallPace;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.WarmUpState;

/** Guards the load between daemons of different builds during a rolling upgrade. */
class LoadHeaderTest {
  private static final LoadReport LOAD = new LoadReport(3, 20, WarmUpState.WARM);

  private final HeaderMap headers = new HeaderMap();

  @Test
  void shouldReadALoadWithoutPaceFromAnEarlierDaemon() {
    headers.put(CallHeaders.LOAD, "3/20 warm");

    assertThat(MeshResponses.readLoad(headers)).contains(LOAD);
  }

  @Test
  void shouldSendTheLoadInTheFormThatEarlierDaemonsParse() {
    MeshResponses.putLoad(headers, LOAD.withPace(CallPace.parse("276 104")));

    assertThat(headers.getFirst("x-parsleycart-load")).isEqualTo("3/20 warm");
    assertThat(headers.getFirst("x-parsleycart-pace")).isEqualTo("276 104");
    assertThat(MeshResponses.readLoad(headers).flatMap(LoadReport::pace))
        .contains(new CallPace(Duration.ofMillis(276), 104));
  }

  @Test
  void shouldKeepTheLoadWhenThePaceIsMalformed() {
    headers.put(CallHeaders.LOAD, "3/20 warm").put(CallHeaders.PACE, "fast");

    assertThat(MeshResponses.readLoad(headers)).contains(LOAD);
  }

  /** A pace alone says nothing about how many calls are outstanding. */
  @Test
  void shouldReadNothingWhenTheLoadIsMissing() {
    headers.put(CallHeaders.PACE, "276 104");

    assertThat(MeshResponses.readLoad(headers)).isEqualTo(Optional.empty());
  }
}
