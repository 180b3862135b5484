package org.parsleycart.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DutyLoopTest {
  private final List<Integer> steps = new ArrayList<>();
  private final DutyLoop loop = new DutyLoop("test", this::step);

  private void step() {
    steps.add(steps.size());
    if (steps.size() == 1) {
      throw new IllegalStateException("first step");
    }
    loop.stop();
  }

  @Test
  void shouldGoOnWhenAStepThrows() {
    loop.run();

    assertThat(steps).hasSize(2);
  }
}
