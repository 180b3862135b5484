package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BoundedQueueTest {
  @Test
  void shouldRejectAndCountElementsWhenItIsFull() {
    BoundedQueue<Integer> queue = new BoundedQueue<>(4);
    for (int element = 0; element < 6; element++) {
      queue.offer(element);
    }

    assertThat(queue.rejectedCount()).isEqualTo(2);
    assertThat(queue.poll()).contains(0);
    assertThat(queue.offer(9)).isTrue();
  }
}
