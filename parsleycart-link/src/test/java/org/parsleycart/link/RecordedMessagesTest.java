package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.decision.message.ControlMessage;

/**
 * Guards the format of messages between daemons of different builds: the bytes were recorded from
 * an earlier build, one message a line in base64, in the order of {@link
 * EnvelopeCodecTest#messages()}.
 */
class RecordedMessagesTest {
  private static final String RESOURCE = "/recorded-messages.txt";

  static Stream<Arguments> recorded() {
    List<ControlMessage> messages = EnvelopeCodecTest.messages().toList();
    List<byte[]> bytes = recordedBytes();
    return IntStream.range(0, messages.size())
        .mapToObj(index -> Arguments.of(messages.get(index), bytes.get(index)));
  }

  @Test
  void shouldHaveRecordedBytesForEveryMessage() {
    assertThat(recordedBytes()).hasSameSizeAs(EnvelopeCodecTest.messages().toList());
  }

  @ParameterizedTest
  @MethodSource("recorded")
  void shouldReadRecordedBytes(ControlMessage message, byte[] bytes) {
    assertThat(EnvelopeCodecTest.CODEC.decode(bytes).get()).isEqualTo(message);
  }

  @ParameterizedTest
  @MethodSource("recorded")
  void shouldWriteTheRecordedBytes(ControlMessage message, byte[] bytes) {
    assertThat(EnvelopeCodecTest.CODEC.encode(message)).isEqualTo(bytes);
  }

  private static List<byte[]> recordedBytes() {
    try (InputStream recording = RecordedMessagesTest.class.getResourceAsStream(RESOURCE)) {
      return new String(recording.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .map(Base64.getDecoder()::decode)
          .toList();
    } catch (IOException e) {
      throw new IllegalStateException(RESOURCE + " cannot be read", e);
    }
  }
}
