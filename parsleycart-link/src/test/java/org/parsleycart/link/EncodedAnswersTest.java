package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Recency;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Route;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;
import org.parsleycart.model.WeightedService;

/** Guards against a large change that fills the link of each daemon that passes it on. */
class EncodedAnswersTest {
  private static final int ROUTES = 1400;

  /** A link of 10 Mbit/s, of which one transfer may take a twentieth of a second. */
  private static final int LINK_BYTES_PER_SECOND = 10_000_000 / 8;

  private static final int MAXIMUM_BYTES = LINK_BYTES_PER_SECOND / 20;

  private final EnvelopeCodec codec =
      new EnvelopeCodec(PeerKeys.of(List.of("test-key-0123456789")));
  private final EncodedAnswers answers = new EncodedAnswers(codec);
  private final ConfigurationLog log = ConfigurationLog.empty();

  EncodedAnswersTest() {
    log.applyPublished(configuration(1, 1), new Recency(0, 1));
    log.applyPublished(configuration(2, ROUTES), new Recency(0, 2));
  }

  private static Configuration configuration(long version, int routes) {
    List<Resource> resources = new ArrayList<>();
    resources.add(new Service("one", "v1", Duration.ZERO, Map.of()));
    IntStream.range(0, routes)
        .mapToObj(number -> "route-" + Integer.toHexString(number * 7919 + 123_457))
        .forEach(
            name -> {
              resources.add(
                  new Contract(
                      name,
                      RequestKind.INTERACTIVE_READ,
                      Duration.ofMillis(2500),
                      Duration.ofMillis(1000),
                      2,
                      OptionalInt.of(1)));
              resources.add(
                  new Route(
                      name,
                      Optional.of("mesh.example"),
                      "/" + name + "/",
                      List.of(WeightedService.single("one")),
                      name,
                      Selector.all()));
            });
    return Configuration.of(version, resources).get();
  }

  private byte[] encode(ConfigurationRequest request) {
    return answers.encode(request, log.answer(request));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, -1})
  void shouldFitTheLinkWhenAnswerIsLargeAndReceiverReadsCompressedOnes(long afterVersion) {
    byte[] answer = encode(new ConfigurationRequest("peer", afterVersion, true));

    assertThat(answer.length).isLessThan(MAXIMUM_BYTES);
    ConfigurationAnswer decoded = (ConfigurationAnswer) codec.decode(answer).get();
    ConfigurationLog receiver = ConfigurationLog.empty();
    receiver.applyPublished(configuration(1, 1), new Recency(0, 1));
    assertThat(receiver.receive(decoded).get()).isEqualTo(1);
    assertThat(receiver.head()).isEqualTo(log.head());
  }

  @Test
  void shouldBeReadableByEarlierBuildsWhenReceiverDoesNotAskForACompressedOne() {
    byte[] answer = encode(new ConfigurationRequest("peer", 1));

    assertThat(answer[0]).isEqualTo(EnvelopeCodec.PROTOCOL_VERSION);
    assertThat(answer.length).isGreaterThan(MAXIMUM_BYTES);
  }

  @Test
  void shouldEncodeALargeAnswerOnceForAllReceivers() {
    assertThat(encode(new ConfigurationRequest("one", 1, true)))
        .isSameAs(encode(new ConfigurationRequest("two", 1, true)));
  }

  @Test
  void shouldNotCompressASmallAnswer() {
    byte[] answer = encode(new ConfigurationRequest("peer", 2, true));

    assertThat(answer[0]).isEqualTo(EnvelopeCodec.PROTOCOL_VERSION);
  }

  @Test
  void shouldRejectCompressedBodyWhenItExpandsWithoutBound() {
    byte[] compressed = Compression.compress(new byte[100_000]);

    assertThat(Compression.expand(compressed, 99_999).isLeft()).isTrue();
    assertThat(Compression.expand(compressed, 100_000).get()).hasSize(100_000);
  }

  @Test
  void shouldRejectCompressedBodyWhenItIsCutOff() {
    byte[] compressed = Compression.compress(new byte[100_000]);
    byte[] part = Arrays.copyOf(compressed, compressed.length / 2);

    assertThat(Compression.expand(part, 200_000).isLeft()).isTrue();
  }
}
