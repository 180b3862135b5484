package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BoundedQueueTest {
  @Test
  void shouldRefuseAndCountWhenItIsFull() {
    BoundedQueue<Integer> ring = new BoundedQueue<>(4);
    for (int element = 0; element < 6; element++) {
      ring.offer(element);
    }

    assertThat(ring.rejectedCount()).isEqualTo(2);
    assertThat(ring.poll()).contains(0);
    assertThat(ring.offer(9)).isTrue();
  }
}
