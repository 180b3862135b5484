package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.UpstreamHeartbeat;
import org.threeten.extra.MutableClock;

class LocalUpstreamsTest {
  private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(10), ZoneOffset.UTC);
  private final LocalUpstreams upstreams =
      new LocalUpstreams(new AdmissionSettings(2, 8, true), clock);

  private static UpstreamHeartbeat beat(
      String identifier, String service, long startedAt, long sequence, boolean draining) {
    return new UpstreamHeartbeat(
        new AnnouncedUpstream(identifier, service, "v1", 4, draining),
        "127.0.0.1:9",
        startedAt,
        sequence,
        Duration.ZERO);
  }

  private boolean take(String identifier, long startedAt, long sequence) {
    return upstreams.receiveHeartbeat(beat(identifier, "one", startedAt, sequence, false));
  }

  private List<String> known() {
    return upstreams.announced().stream().map(AnnouncedUpstream::identifier).toList();
  }

  @Nested
  class Heartbeat {
    @Test
    void shouldAnnounceTheUpstreamThatSendsIt() {
      take("a", 1, 1);

      assertThat(known()).containsExactly("a");
    }

    @Test
    void shouldIgnoreOneThatComesAfterALaterOne() {
      upstreams.receiveHeartbeat(beat("a", "one", 1, 5, true));

      assertThat(take("a", 1, 4)).isFalse();
      assertThat(upstreams.announced().get(0).draining()).isTrue();
    }

    @Test
    void shouldIgnoreOneOfADeadProcessAtTheAddressOfALaterOne() {
      take("old", 1, 9);
      take("new", 2, 1);

      assertThat(take("old", 1, 10)).isFalse();
      assertThat(known()).containsExactly("new");
    }

    @Test
    void shouldTakeAProcessThatStartsAgainUnderItsIdentifierWithCountsAnew() {
      upstreams.receiveHeartbeat(beat("a", "one", 1, 50, true));

      assertThat(take("a", 2, 1)).isTrue();
      assertThat(upstreams.announced().get(0).draining()).isFalse();
    }

    @Test
    void shouldFollowAnAddressThatGoesToAnotherService() {
      take("a", 1, 1);
      upstreams.receiveHeartbeat(beat("b", "two", 2, 1, false));

      assertThat(upstreams.announced())
          .extracting(AnnouncedUpstream::service)
          .containsExactly("two");
    }

    @Test
    void shouldNeverTakeBackThatAProcessDrains() {
      upstreams.receiveHeartbeat(beat("a", "one", 1, 1, true));
      take("a", 1, 2);

      assertThat(upstreams.announced().get(0).draining()).isTrue();
    }

    @Test
    void shouldForgetAnUpstreamThatFallsSilent() {
      take("a", 1, 1);
      clock.add(Duration.ofSeconds(11));

      assertThat(upstreams.expire()).containsExactly("a");
      assertThat(known()).isEmpty();
    }
  }

  @Nested
  class Departure {
    @Test
    void shouldIgnoreHeartbeatsThatWereOnTheWay() {
      take("a", 1, 1);
      upstreams.deregister("a");

      assertThat(take("a", 1, 2)).isFalse();
      assertThat(known()).isEmpty();
    }

    @Test
    void shouldTakeALaterProcessWithTheSameIdentifier() {
      take("a", 1, 1);
      upstreams.deregister("a");

      assertThat(take("a", 2, 1)).isTrue();
    }

    @Test
    void shouldBindAlsoWhenNoHeartbeatWasSeenBefore() {
      upstreams.deregister("a");

      assertThat(take("a", clock.millis() - 1000, 7)).isFalse();
      assertThat(take("a", clock.millis() + 1000, 1)).isTrue();
    }
  }
}
