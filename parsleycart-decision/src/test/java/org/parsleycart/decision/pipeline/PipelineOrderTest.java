package org.parsleycart.decision.pipeline;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class PipelineOrderTest {
  private final PipelineOrder<String> order = new PipelineOrder<>(3);

  @Test
  void shouldBeginAnyRequestWhenNoneIsInProgress() {
    assertThat(order.mayBegin(true)).isTrue();
    assertThat(order.mayBegin(false)).isTrue();
  }

  @Test
  void shouldBeginSafeRequestsTogetherUpToTheMaximum() {
    order.begin("a", true);
    order.begin("b", true);
    assertThat(order.mayBegin(true)).isTrue();
    order.begin("c", true);

    assertThat(order.mayBegin(true)).isFalse();
    order.endFirst();
    assertThat(order.mayBegin(true)).isTrue();
  }

  @Test
  void shouldNotBeginWriteBesideReads() {
    order.begin("a", true);

    assertThat(order.mayBegin(false)).isFalse();
  }

  @Test
  void shouldNotBeginReadBehindWrite() {
    order.begin("a", false);

    assertThat(order.mayBegin(true)).isFalse();
  }

  @Test
  void shouldSendResponsesInOrderOfRequests() {
    order.begin("a", true);
    order.begin("b", true);

    assertThat(order.first()).contains("a");
    order.endFirst();
    assertThat(order.first()).contains("b");
    order.endFirst();
    assertThat(order.first()).isEmpty();
    assertThat(order.isEmpty()).isTrue();
  }

  @Test
  void shouldRejectMaximumBelowOne() {
    assertThatThrownBy(() -> new PipelineOrder<String>(0))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
