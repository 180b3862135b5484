package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.Announcement;
import org.parsleycart.decision.message.ControlMessage.MembershipAnswer;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Event;
import org.parsleycart.model.Recency;

/** Evidence on requests and generations of heads, which earlier builds do not write. */
class RequestEvidenceCodecTest {
  private static final ConfigurationHead HEAD =
      new ConfigurationHead(new Recency(12, 2_000_000_000_017L), "0123456789abcdef");
  private static final List<RequestEvidence> EVIDENCE =
      List.of(
          new RequestEvidence(
              Event.ENDED, "i-1@17", Set.of(-1L, 0L, Long.MAX_VALUE), Duration.ofMillis(250)),
          new RequestEvidence(Event.ANSWERED, "i-2", Set.of(5L), Duration.ZERO));

  private static void assertRoundTrip(ControlMessage message) {
    assertThat(EnvelopeCodecTest.CODEC.decode(EnvelopeCodecTest.CODEC.encode(message)).get())
        .isEqualTo(message);
  }

  @Test
  void shouldReadWhatItWritesInGossip() {
    assertRoundTrip(
        new Announcement(
            new Gossip("a", HEAD, Optional.empty(), List.of(), List.of(), List.of(), EVIDENCE)));
  }

  @Test
  void shouldReadWhatItWritesInAnswersToMembers() {
    assertRoundTrip(new MembershipAnswer(HEAD, List.of(), List.of(), EVIDENCE));
  }
}
