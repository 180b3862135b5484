package org.parsleycart.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Event;
import org.parsleycart.decision.quarantine.RequestQuarantine.Quarantined;

/** Guards against requests that end their upstreams without end, and against refusing others. */
class RequestQuarantineTest {
  private static final long DEADLY = 7;
  private static final long OTHER = 8;

  private final List<Quarantined> reported = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private final InstantSource clock = () -> now;
  private final RequestQuarantine quarantine = new RequestQuarantine(clock, reported::add);

  private static RequestEvidence ended(String process, Long... requests) {
    return RequestEvidence.of(Event.ENDED, process, List.of(requests));
  }

  private static RequestEvidence answered(String process, Long... requests) {
    return RequestEvidence.of(Event.ANSWERED, process, List.of(requests));
  }

  @Test
  void shouldQuarantineRequestWhenThreeProcessesEndedUnderIt() {
    quarantine.merge(List.of(ended("a", DEADLY, OTHER), ended("b", DEADLY)));
    assertThat(quarantine.isQuarantined(DEADLY)).isFalse();

    quarantine.merge(List.of(ended("c", DEADLY, 9L)));

    assertThat(quarantine.isQuarantined(DEADLY)).isTrue();
    assertThat(quarantine.isQuarantined(OTHER)).isFalse();
    assertThat(reported).containsExactly(new Quarantined(DEADLY, List.of("a", "b", "c")));
  }

  /** Guards against counting the end of one process several times. */
  @Test
  void shouldCountEachProcessOnceWhenSeveralDaemonsReportIt() {
    quarantine.merge(List.of(ended("a", DEADLY), ended("a", DEADLY, OTHER), ended("b", DEADLY)));

    assertThat(quarantine.isQuarantined(DEADLY)).isFalse();
  }

  /**
   * Guards against refusing what many callers send alike because upstreams end for other reasons.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shouldNotQuarantineRequestThatAnUpstreamAnswered(boolean isAnsweredFirst) {
    List<RequestEvidence> evidence =
        new ArrayList<>(
            List.of(
                answered("d", DEADLY), ended("a", DEADLY), ended("b", DEADLY), ended("c", DEADLY)));
    Collections.rotate(evidence, isAnsweredFirst ? 0 : -1);

    evidence.forEach(each -> quarantine.merge(List.of(each)));

    assertThat(quarantine.isQuarantined(DEADLY)).isFalse();
  }

  @Test
  void shouldForgetEvidenceWhenItExpires() {
    quarantine.merge(List.of(ended("a", DEADLY), ended("b", DEADLY), ended("c", DEADLY)));

    now = now.plus(RequestQuarantine.RETENTION);

    assertThat(quarantine.isQuarantined(DEADLY)).isFalse();
    assertThat(quarantine.hasSuspects()).isFalse();
    assertThat(quarantine.all()).isEmpty();
  }

  /** Guards against evidence that daemons pass to each other for ever. */
  @Test
  void shouldKeepTheAgeOfEvidenceWhenItIsPassedOn() {
    quarantine.merge(List.of(ended("a", DEADLY)));
    now = now.plus(RequestQuarantine.RETENTION.minusSeconds(1));
    RequestQuarantine receiver = new RequestQuarantine(clock, unused -> {});
    receiver.merge(quarantine.all());
    assertThat(receiver.hasSuspects()).isTrue();

    now = now.plusSeconds(1);

    assertThat(receiver.hasSuspects()).isFalse();
    assertThat(receiver.merge(List.of(agedAtLimit()))).isEmpty();
  }

  private static RequestEvidence agedAtLimit() {
    return new RequestEvidence(Event.ENDED, "a", Set.of(DEADLY), RequestQuarantine.RETENTION);
  }

  @Test
  void shouldReturnOnlyWhatWasNotKnownWhenEvidenceComesAgain() {
    assertThat(quarantine.merge(List.of(ended("a", DEADLY)))).hasSize(1);
    assertThat(quarantine.merge(List.of(ended("a", DEADLY)))).isEmpty();

    List<RequestEvidence> added = quarantine.merge(List.of(ended("a", OTHER)));

    assertThat(added).hasSize(1);
    assertThat(added.get(0).requests()).containsExactlyInAnyOrder(DEADLY, OTHER);
  }

  @Test
  void shouldBeUrgentOnlyWhenARequestHasEndedMoreThanOneProcess() {
    RequestEvidence first = ended("a", DEADLY, OTHER);
    quarantine.merge(List.of(first));
    assertThat(quarantine.isUrgent(first)).isFalse();

    RequestEvidence second = ended("b", DEADLY);
    quarantine.merge(List.of(second));

    assertThat(quarantine.isUrgent(second)).isTrue();
  }

  /** Guards against state that grows with the number of crashes or of requests at one of them. */
  @Test
  void shouldKeepABoundedNumberOfProcessesAndRequests() {
    Set<Long> many = Set.copyOf(LongStream.range(0, 1000).boxed().toList());
    quarantine.merge(List.of(new RequestEvidence(Event.ENDED, "x", many, Duration.ZERO)));
    assertThat(quarantine.all().get(0).requests())
        .hasSize(RequestQuarantine.MAXIMUM_REQUESTS_PER_SUBJECT);

    IntStream.range(0, 1000).forEach(index -> quarantine.merge(List.of(ended("p" + index, 1L))));

    assertThat(quarantine.all()).hasSize(RequestQuarantine.MAXIMUM_SUBJECTS);
  }

  /** Guards against daemons that disagree because evidence reached them in another order. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldDecideAlikeInAnyOrderOfEvidence(long seed) {
    List<RequestEvidence> evidence = new ArrayList<>();
    Random random = new Random(seed);
    for (int index = 0; index < 40; index++) {
      Event event = random.nextInt(8) == 0 ? Event.ANSWERED : Event.ENDED;
      String process = "p" + random.nextInt(12);
      evidence.add(RequestEvidence.of(event, process, List.of((long) random.nextInt(10))));
    }
    quarantine.merge(evidence);
    RequestQuarantine other = new RequestQuarantine(clock, unused -> {});
    Collections.shuffle(evidence, random);

    evidence.forEach(each -> other.merge(List.of(each)));

    LongStream.range(0, 10)
        .forEach(
            request ->
                assertThat(other.isQuarantined(request))
                    .isEqualTo(quarantine.isQuarantined(request)));
  }
}
