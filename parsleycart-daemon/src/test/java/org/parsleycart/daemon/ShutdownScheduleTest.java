package org.parsleycart.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.settings.DaemonSettings;

class ShutdownScheduleTest {
  private static ShutdownSchedule schedule(String limits) {
    String text =
        """
        zone: abdali
        addresses: {callers: "127.0.0.1:1", daemons: "127.0.0.1:2", control: "127.0.0.1:3",
                    operators: "127.0.0.1:4"}
        platform: embedded
        peerKeys: [stop-times-0123456789]
        limits: {%s}
        """
            .formatted(limits);
    return ShutdownSchedule.of(DaemonSettings.parse("test", text).get().limits());
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 4, 6, 30})
  void shouldEndBeforeTheGraceTimeWhenItIsKnown(int seconds) {
    ShutdownSchedule schedule = schedule("graceTime: " + seconds + "s, drainTimeout: 20s");

    assertThat(schedule.abortCallsAfter()).isLessThan(Duration.ofSeconds(seconds));
    assertThat(schedule.closeUpstreamsAfter()).isLessThan(schedule.refuseCallersAfter());
    assertThat(schedule.refuseCallersAfter()).isLessThan(schedule.abortCallsAfter());
  }

  @Test
  void shouldFollowTheDrainTimeoutWhenNoGraceTimeIsKnown() {
    assertThat(schedule("drainTimeout: 20s").abortCallsAfter()).isEqualTo(Duration.ofSeconds(22));
  }
}
