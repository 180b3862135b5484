package org.parsleycart.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerLoopTest {
  private final List<Integer> steps = new ArrayList<>();
  private final WorkerLoop loop = new WorkerLoop("test", this::step);

  private void step() {
    steps.add(steps.size());
    if (steps.size() == 1) {
      throw new IllegalStateException("first step");
    }
    loop.stop();
  }

  @Test
  void shouldContinueWhenAStepThrows() {
    loop.run();

    assertThat(steps).hasSize(2);
  }
}
