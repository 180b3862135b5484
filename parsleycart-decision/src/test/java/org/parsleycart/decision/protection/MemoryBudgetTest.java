package org.parsleycart.decision.protection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

/** Guards against groups of clients that together hold more than there is, or starve a group. */
class MemoryBudgetTest {
  private static final long MAXIMUM = 800;
  private static final long GUARANTEED = 100;

  private final MemoryBudget budget = new MemoryBudget(MAXIMUM);
  private final MemoryBudget.Share first = budget.addShare(GUARANTEED);
  private final MemoryBudget.Share second = budget.addShare(GUARANTEED);

  @Test
  void shouldHoldAllButTheGuaranteesOfTheOthers() {
    assertThat(first.tryHold(701)).isFalse();
    assertThat(first.tryHold(700)).isTrue();
    assertThat(first.tryHold(1)).isFalse();
    assertThat(first.heldBytes()).isEqualTo(700);
  }

  @Test
  void shouldHoldTheGuaranteeWhenAnotherShareHoldsTheRest() {
    first.hold(10_000);

    assertThat(second.tryHold(GUARANTEED)).isTrue();
    assertThat(second.tryHold(1)).isFalse();
    assertThat(second.isExceeded()).isFalse();
    assertThat(first.isExceeded()).isTrue();
  }

  @Test
  void shouldHoldAgainWhenBytesAreReleased() {
    first.tryHold(700);
    first.release(300);

    assertThat(second.tryHold(400)).isTrue();
    assertThat(first.tryHold(1)).isFalse();
  }

  @Test
  void shouldRejectGuaranteesThatExceedTheBudget() {
    assertThatThrownBy(() -> budget.addShare(601)).isInstanceOf(IllegalArgumentException.class);
  }

  /** Any order of reservations: the sum never exceeds the budget. */
  @RepeatedTest(20)
  void shouldNeverHoldMoreThanTheBudget(RepetitionInfo repetition) {
    Random random = new Random(repetition.getCurrentRepetition());
    List<MemoryBudget.Share> shares = List.of(first, second);
    for (int step = 0; step < 200; step++) {
      MemoryBudget.Share share = shares.get(random.nextInt(shares.size()));
      if (random.nextInt(3) == 0) {
        share.release(Math.min(share.heldBytes(), random.nextInt(200)));
      } else {
        share.tryHold(random.nextInt(200));
      }
      assertThat(first.heldBytes() + second.heldBytes()).isLessThanOrEqualTo(MAXIMUM);
      assertThat(share.heldBytes()).isNotNegative();
    }
  }
}
