package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.usage.DaemonUsage;
import org.parsleycart.decision.usage.WindowCounts;

/** Guards the messages with which the holder of the usage duty gathers counts. */
class UsageMessagesTest {
  static Stream<ControlMessage> messages() {
    return Stream.of(
        new ControlMessage.UsageRequest(List.of(353_445_120L, 353_445_121L)),
        new ControlMessage.UsageAnswer(
            new DaemonUsage(
                "10.0.0.1:7402",
                1_700_000_000_000L,
                List.of(
                    new WindowCounts(353_445_120, Map.of("pulo780", 412L)),
                    WindowCounts.empty(353_445_121))),
            1_767_225_600_123L));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shouldRestoreTheMessageWhenItsBytesAreDecoded(ControlMessage message) {
    byte[] bytes = EnvelopeCodecTest.CODEC.encode(message);

    assertThat(EnvelopeCodecTest.CODEC.decode(bytes).get()).isEqualTo(message);
  }
}
