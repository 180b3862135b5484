package org.parsleycart.decision.protection;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against heads that occupy far more memory than they are charged for. */
class HeadCostTest {

  private static long cost(String head) {
    HeadCost cost = new HeadCost();
    for (byte next : head.getBytes(StandardCharsets.ISO_8859_1)) {
      cost.add(next);
    }
    return cost.heapBytes();
  }

  @Test
  void shouldCostNothingWhenOnlyEmptyLinesHaveArrived() {
    assertThat(cost("\r\n\r\n\n\n")).isZero();
  }

  @Test
  void shouldCountParametersOfTheFirstLineOnly() {
    assertThat(cost("\r\nGET /a;b=1?c=2&d HTTP/1.1\r\nCookie: a=1; b=2?&\r\n"))
        .isEqualTo(HeadCost.of(25 + 18, 2, 3));
  }

  @Test
  void shouldCostMoreThanItsBytesWhenParametersAreShort() {
    String head = "GET /?" + "a&".repeat(500);

    assertThat(cost(head)).isGreaterThan(100L * head.length());
  }
}
