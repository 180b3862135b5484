package org.parsleycart.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.state.WorkerHealth;

class WorkerLoopTest {
  private final List<Integer> steps = new ArrayList<>();
  private final WorkerHealth health = new WorkerHealth();

  @Test
  void shouldContinueWhenAStepThrows() {
    WorkerLoop[] loop = new WorkerLoop[1];
    loop[0] =
        new WorkerLoop(
            "test",
            () -> {
              steps.add(steps.size());
              if (steps.size() == 1) {
                throw new IllegalStateException("first step");
              }
              loop[0].stop();
            },
            health);

    loop[0].run();

    assertThat(steps).hasSize(2);
  }

  /** Guards against a worker that ends while its daemon goes on and says that it is ready. */
  @Test
  void shouldContinueAndBeUnsoundUntilAStepSucceedsWhenAStepEndsWithAnError() {
    List<Boolean> soundness = new ArrayList<>();
    WorkerLoop[] loop = new WorkerLoop[1];
    loop[0] =
        new WorkerLoop(
            "test",
            () -> {
              soundness.add(health.isSound());
              steps.add(steps.size());
              if (steps.size() <= 2) {
                throw new OutOfMemoryError("of the test");
              }
              if (steps.size() == 4) {
                loop[0].stop();
              }
            },
            health);

    loop[0].run();

    assertThat(soundness).containsExactly(true, false, false, true);
    assertThat(health.isSound()).isTrue();
  }

  @Test
  void shouldEndItsThreadAndStayUnsoundWhenErrorsDoNotStop() {
    WorkerLoop loop =
        new WorkerLoop(
            "test",
            () -> {
              steps.add(steps.size());
              throw new OutOfMemoryError("of the test");
            },
            health);

    assertThatThrownBy(loop::run).isInstanceOf(OutOfMemoryError.class);

    assertThat(steps).hasSize(WorkerLoop.MAXIMUM_ERRORS_IN_A_ROW);
    assertThat(health.isSound()).isFalse();
  }
}
