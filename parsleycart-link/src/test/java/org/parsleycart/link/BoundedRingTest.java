package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BoundedRingTest {
  @Test
  void shouldRefuseAndCountWhenItIsFull() {
    BoundedRing<Integer> ring = new BoundedRing<>(4);
    for (int element = 0; element < 6; element++) {
      ring.offer(element);
    }

    assertThat(ring.refused()).isEqualTo(2);
    assertThat(ring.poll()).contains(0);
    assertThat(ring.offer(9)).isTrue();
  }
}
