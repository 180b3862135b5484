package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.EncodedSnapshot;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.message.VersionLoad;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.decision.rollout.LatencyBuckets;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.ResourceReference;

class EnvelopeCodecTest {
  private static final String OLD_KEY = "old-key-0123456789";
  private static final String NEW_KEY = "new-key-0123456789";
  static final EnvelopeCodec CODEC = new EnvelopeCodec(PeerKeys.of(List.of(OLD_KEY)));

  private static final MemberRecord RECORD =
      new MemberRecord(
          "10.0.0.1:7402",
          1_700_000_000_000L,
          3,
          MemberStatus.SUSPECTED,
          "abdali",
          "10.0.0.1:7401",
          Map.of("rack", "r1"),
          List.of(new AnnouncedUpstream("u1", "ledger", "v1", 20, true)));
  private static final Gossip GOSSIP =
      new Gossip(
          "10.0.0.1:7402",
          new ConfigurationHead(7, "0123456789abcdef"),
          Optional.of(Duration.ofMillis(700)),
          List.of(RECORD),
          List.of(RECORD.toStatusUpdate()),
          List.of(
              new UrgentFact(
                  new ResourceReference(ResourceKind.AVAILABILITY_ZONE, "abdali"),
                  7,
                  1,
                  true,
                  "operator")));

  static Stream<ControlMessage> messages() {
    ConfigurationChange change =
        new ConfigurationChange(
            "c", "a", List.of(new AvailabilityZone("abdali", Map.of("x", "y"))), List.of());
    VersionedChange versioned = new VersionedChange(8, 5, change, Digest.of(new byte[0]));
    List<Long> latencies = Stream.generate(() -> 3L).limit(LatencyBuckets.COUNT).toList();
    return Stream.of(
        new ControlMessage.Probe(GOSSIP, 4, "10.0.0.2:7402"),
        new ControlMessage.Acknowledgement(GOSSIP, 4, "10.0.0.2:7402"),
        new ControlMessage.IndirectProbe(GOSSIP, 4, "10.0.0.2:7402"),
        new ControlMessage.Announcement(GOSSIP),
        new ControlMessage.ConfigurationRequest("10.0.0.1:7402", -1),
        new ControlMessage.ConfigurationAnswer(GOSSIP.head(), List.of(versioned), Optional.empty()),
        new ControlMessage.ConfigurationAnswer(
            GOSSIP.head(), List.of(), Optional.of(EncodedSnapshot.of(new byte[] {1, 2}))),
        new ControlMessage.MembershipRequest(RECORD, List.of(-5L, 0L, Long.MAX_VALUE)),
        new ControlMessage.MembershipAnswer(GOSSIP.head(), List.of(RECORD), GOSSIP.urgentFacts()),
        new ControlMessage.InForceRequest(8, List.of("a", "b"), 500),
        new ControlMessage.InForceAnswer(3, 2, 1, List.of("a")),
        new ControlMessage.EvidenceRequest("ledger"),
        new ControlMessage.EvidenceAnswer(
            List.of(new CallCounts("v1", "r", 4, 5, latencies)),
            List.of(new VersionLoad("v1", 2, 20))),
        new ControlMessage.Failure("reason"));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shouldRestoreTheMessageWhenItsBytesAreDecoded(ControlMessage message) {
    assertThat(CODEC.decode(CODEC.encode(message)).get()).isEqualTo(message);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shouldRejectTheMessageWhenItsKeyIsNotAccepted(ControlMessage message) {
    EnvelopeCodec otherCodec = new EnvelopeCodec(PeerKeys.of(List.of("other-key-0123456789")));

    assertThat(CODEC.decode(otherCodec.encode(message)).isLeft()).isTrue();
  }

  @Test
  void shouldAcceptBothKeysWhenAKeyIsBeingReplaced() {
    EnvelopeCodec bothKeys = new EnvelopeCodec(PeerKeys.of(List.of(NEW_KEY, OLD_KEY)));
    EnvelopeCodec newKeyOnly = new EnvelopeCodec(PeerKeys.of(List.of(NEW_KEY)));
    ControlMessage message = new ControlMessage.Failure("x");

    assertThat(bothKeys.decode(CODEC.encode(message)).isRight()).isTrue();
    assertThat(bothKeys.decode(newKeyOnly.encode(message)).isRight()).isTrue();
    assertThat(newKeyOnly.decode(bothKeys.encode(message)).isRight()).isTrue();
    assertThat(newKeyOnly.decode(CODEC.encode(message)).isLeft()).isTrue();
  }

  @Test
  void shouldRejectTheMessageWhenItsProtocolVersionDiffers() {
    byte[] bytes = CODEC.encode(new ControlMessage.Failure("x"));
    bytes[0] = 2;

    assertThat(CODEC.decode(bytes).getLeft().message()).contains("protocol version 2");
  }

  @Property(seed = "51", tries = 1000)
  void shouldRejectTheBytesWhenTheyAreArbitrary(@ForAll @Size(max = 300) byte[] bytes) {
    assertThat(CODEC.decode(bytes).isLeft()).isTrue();
  }

  /** A faulty peer can sign any bytes, which then reach the decoder. */
  @Property(seed = "52", tries = 2000)
  void shouldReturnAResultWhenASignedBodyIsCorrupted(
      @ForAll @Size(max = 120) byte[] corruption, @ForAll int message, @ForAll int position) {
    List<ControlMessage> all = messages().toList();
    byte[] encoded = CODEC.encode(all.get(Math.floorMod(message, all.size())));
    int header = 1 + PeerKeys.SIGNATURE_LENGTH;
    byte[] body = java.util.Arrays.copyOfRange(encoded, header, encoded.length);
    for (int index = 0; index < corruption.length && index < 3; index++) {
      body[Math.floorMod(position + index * 31, body.length)] ^= corruption[index];
    }
    byte[] signedPart = new byte[1 + body.length];
    signedPart[0] = EnvelopeCodec.PROTOCOL_VERSION;
    System.arraycopy(body, 0, signedPart, 1, body.length);
    byte[] signature = PeerKeys.of(List.of(OLD_KEY)).sign(signedPart);
    byte[] bytes = new byte[header + body.length];
    bytes[0] = EnvelopeCodec.PROTOCOL_VERSION;
    System.arraycopy(signature, 0, bytes, 1, signature.length);
    System.arraycopy(body, 0, bytes, header, body.length);

    assertThat(CODEC.decode(bytes)).isNotNull();
  }
}
