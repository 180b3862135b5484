package org.parsleycart.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.membership.DepartedProcess;
import org.parsleycart.store.Platform;

class DepartureRegisterTest {
  private static final int DEPARTURES = 60;

  /** Guards against a register that writes for ever, because more departures wait than it keeps. */
  @Test
  void shouldAcknowledgeAllDeparturesWhenManyWaitTogether() throws InterruptedException {
    InstantSource clock = InstantSource.system();
    DepartureRegister register =
        new DepartureRegister(
            Platform.inMemory().table(),
            "127.0.0.1:1",
            new LocalUpstreams(new AdmissionSettings(2, 8, true), clock),
            () -> 0,
            clock,
            new WorkerHealth());
    CountDownLatch acknowledged = new CountDownLatch(DEPARTURES);
    IntStream.range(0, DEPARTURES)
        .forEach(
            number ->
                register.store(new DepartedProcess("i-" + number, 7), acknowledged::countDown));

    register.start();

    assertThat(acknowledged.await(10, TimeUnit.SECONDS)).isTrue();
    register.stop();
  }
}
