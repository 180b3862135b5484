package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.DepartedProcess;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.parsleycart.model.RequestKind;
import org.threeten.extra.MutableClock;

class LocalUpstreamsTest {
  private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(10), ZoneOffset.UTC);
  private final LocalUpstreams upstreams =
      new LocalUpstreams(new AdmissionSettings(2, 8, true), clock);

  @BeforeEach
  void restoreNothing() {
    upstreams.restore(List.of());
  }

  private static UpstreamHeartbeat heartbeat(
      String identifier, String service, long startedAt, long sequence, boolean isDraining) {
    return new UpstreamHeartbeat(
        new AnnouncedUpstream(identifier, service, "v1", 4, isDraining),
        "127.0.0.1:9",
        startedAt,
        sequence,
        Duration.ZERO);
  }

  private boolean receive(String identifier, long startedAt, long sequence) {
    return upstreams.receiveHeartbeat(heartbeat(identifier, "one", startedAt, sequence, false));
  }

  private List<String> identifiers() {
    return upstreams.announced().stream().map(AnnouncedUpstream::identifier).toList();
  }

  /** Guards against calls that wait beside a draining upstream and are sent to it late. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shouldCloseAdmissionWhenUpstreamDrains(boolean isStatedByHeartbeat) {
    receive("a", 1, 1);
    if (isStatedByHeartbeat) {
      upstreams.receiveHeartbeat(heartbeat("a", "one", 1, 2, true));
    } else {
      upstreams.drain("a");
    }
    upstreams.openAdmission();

    AdmissionRequest<String> request =
        new AdmissionRequest<>("call", RequestKind.INTERACTIVE_READ, "r", clock.instant());
    assertThat(upstreams.find("a").orElseThrow().admission().expectedRefusal(request))
        .contains(RefusalReason.DRAINING);
  }

  @Nested
  class Heartbeat {
    @Test
    void shouldAnnounceUpstreamWhenItIsReceived() {
      receive("a", 1, 1);

      assertThat(identifiers()).containsExactly("a");
    }

    @Test
    void shouldRunFewCallsAtFirstWhenUpstreamRanBeforeTheDaemon() {
      receive("started", 1, 1);
      upstreams.receiveHeartbeat(
          new UpstreamHeartbeat(
              new AnnouncedUpstream("ran", "one", "v1", 4, false),
              "127.0.0.1:8",
              1,
              7,
              Duration.ZERO));

      assertThat(concurrencyLimit("started")).isEqualTo(4);
      assertThat(concurrencyLimit("ran")).isEqualTo(2);
    }

    private int concurrencyLimit(String identifier) {
      return upstreams.find(identifier).orElseThrow().admission().load().limit();
    }

    @Test
    void shouldBeIgnoredWhenReceivedAfterALaterOne() {
      upstreams.receiveHeartbeat(heartbeat("a", "one", 1, 5, true));

      assertThat(receive("a", 1, 4)).isFalse();
      assertThat(upstreams.announced().get(0).draining()).isTrue();
    }

    @Test
    void shouldBeIgnoredWhenALaterProcessHasTheAddress() {
      receive("old", 1, 9);
      receive("new", 2, 1);

      assertThat(receive("old", 1, 10)).isFalse();
      assertThat(identifiers()).containsExactly("new");
    }

    @Test
    void shouldBeAppliedWhenARestartedProcessResetsItsSequence() {
      upstreams.receiveHeartbeat(heartbeat("a", "one", 1, 50, true));

      assertThat(receive("a", 2, 1)).isTrue();
      assertThat(upstreams.announced().get(0).draining()).isFalse();
    }

    @Test
    void shouldReplaceUpstreamWhenItsAddressMovesToAnotherService() {
      receive("a", 1, 1);
      upstreams.receiveHeartbeat(heartbeat("b", "two", 2, 1, false));

      assertThat(upstreams.announced())
          .extracting(AnnouncedUpstream::service)
          .containsExactly("two");
    }

    @Test
    void shouldNotEndDrainingWhenALaterOneIsNotDraining() {
      upstreams.receiveHeartbeat(heartbeat("a", "one", 1, 1, true));
      receive("a", 1, 2);

      assertThat(upstreams.announced().get(0).draining()).isTrue();
    }

    @Test
    void shouldExpireUpstreamWhenItSendsNoMore() {
      receive("a", 1, 1);
      clock.add(Duration.ofSeconds(11));

      assertThat(upstreams.expire()).containsExactly("a");
      assertThat(identifiers()).isEmpty();
    }
  }

  @Nested
  class Deregistration {
    @Test
    void shouldIgnoreHeartbeatsWhenTheyArriveAfterIt() {
      receive("a", 1, 1);
      upstreams.deregister("a");

      assertThat(receive("a", 1, 2)).isFalse();
      assertThat(identifiers()).isEmpty();
    }

    @Test
    void shouldAcceptLaterProcessWhenItHasTheSameIdentifier() {
      receive("a", 1, 1);
      upstreams.deregister("a");

      assertThat(receive("a", 2, 1)).isTrue();
    }

    @Test
    void shouldIgnoreEarlierProcessWhenNoHeartbeatWasReceivedBefore() {
      upstreams.deregister("a");

      assertThat(receive("a", clock.millis() - 1000, 7)).isFalse();
      assertThat(receive("a", clock.millis() + 1000, 1)).isTrue();
    }
  }

  /** Guards against an upstream that has left and is used again after a restart of its daemon. */
  @Nested
  class Restoration {
    private final LocalUpstreams restarted =
        new LocalUpstreams(new AdmissionSettings(2, 8, true), clock);

    private List<String> announced() {
      return restarted.announced().stream().map(AnnouncedUpstream::identifier).toList();
    }

    @Test
    void shouldKeepHeartbeatsWaitingBeforeIt() {
      restarted.receiveHeartbeat(heartbeat("left", "one", 1, 5, false));

      assertThat(announced()).isEmpty();
    }

    @Test
    void shouldApplyTheLastHeartbeatOfEachUpstreamThatHasNotLeft() {
      restarted.receiveHeartbeat(heartbeat("left", "one", 1, 5, false));
      restarted.receiveHeartbeat(
          new UpstreamHeartbeat(
              new AnnouncedUpstream("running", "one", "v1", 4, true),
              "127.0.0.1:8",
              1,
              7,
              Duration.ZERO));

      restarted.restore(List.of(new DepartedProcess("left", 1)));

      assertThat(announced()).containsExactly("running");
      assertThat(restarted.announced().get(0).draining()).isTrue();
    }

    @Test
    void shouldRemoveUpstreamWhenItsDepartureBecomesKnownLater() {
      restarted.restore(List.of());
      restarted.receiveHeartbeat(heartbeat("left", "one", 1, 5, false));

      restarted.restore(List.of(new DepartedProcess("left", 1)));

      assertThat(announced()).isEmpty();
      assertThat(restarted.receiveHeartbeat(heartbeat("left", "one", 1, 6, false))).isFalse();
    }

    @Test
    void shouldAcceptALaterProcessOfTheSameUpstream() {
      restarted.restore(List.of(new DepartedProcess("left", 1)));

      restarted.receiveHeartbeat(heartbeat("left", "one", 2, 1, false));

      assertThat(announced()).containsExactly("left");
    }
  }
}
