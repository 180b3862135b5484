package org.parsleycart.decision.admission;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.HexFormat;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/**
 * Guards against a change of any decision on requests without an organisation.
 *
 * <p>Load: 100 seeded sequences of 600 steps at an upstream with 3 slots and a queue of 8: offers
 * of three ranks with deadlines that often coincide, ends, cancellations, expiry, and closing.
 */
class DecisionsWithoutOrganisationsTest {
  private static final int SEQUENCES = 100;
  private static final int STEPS = 600;

  /** Recorded from the queue without organisations, at commit 04f7136. */
  private static final String RECORDED_DIGEST =
      "df4457f46d659951c36d93a240de7b8a933487137d5348631ce601a45c4841fa";

  private final MessageDigest digest = sha256();

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void record(AdmissionDecision<Integer> decision) {
    String admitted =
        decision.admitted().stream()
            .map(request -> request.call().toString())
            .collect(Collectors.joining(","));
    String refused =
        decision.refusals().stream()
            .map(refusal -> refusal.request().call() + "=" + refusal.reason())
            .collect(Collectors.joining(","));
    digest.update((admitted + "/" + refused + ";").getBytes(UTF_8));
  }

  private void play(long seed) {
    Random random = new Random(seed);
    MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    AdmissionControl<Integer> admission =
        new AdmissionControl<>(new AdmissionSettings(2, 8, seed % 2 == 0), 3, clock);
    for (int step = 0; step < STEPS; step++) {
      clock.add(Duration.ofMillis(random.nextInt(4)));
      int action = random.nextInt(100);
      if (action < 55) {
        // Equal calls with equal deadlines show which of several equal requests is removed.
        Instant deadline = Instant.ofEpochMilli(clock.millis() / 50 * 50 + 50L * random.nextInt(8));
        record(
            admission.offer(
                new AdmissionRequest<>(
                    step / 2,
                    random.nextInt(3),
                    "route-" + random.nextInt(2),
                    deadline.minusMillis(20),
                    deadline)));
      } else if (action < 90 && admission.running() > 0) {
        Duration latency = Duration.ofMillis(1 + random.nextInt(30));
        record(
            action < 85
                ? admission.recordAnswer("route-" + random.nextInt(2), latency)
                : admission.releaseSlot());
      } else if (action < 95) {
        digest.update((byte) (admission.cancel(step / 2 - random.nextInt(10)) ? 1 : 0));
      } else if (action < 99) {
        record(admission.refuseExpired());
      } else {
        record(admission.close(RefusalReason.ZONE_WITHDRAWN));
        admission.reopen();
      }
      digest.update(admission.load().toString().getBytes(UTF_8));
    }
  }

  @Test
  void shouldDecideAsBeforeWhenNoRequestHasAnOrganisation() {
    for (long seed = 0; seed < SEQUENCES; seed++) {
      play(seed);
    }

    assertThat(HexFormat.of().formatHex(digest.digest())).isEqualTo(RECORDED_DIGEST);
  }
}
