package org.parsleycart.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bounds on clients that exceed the memory of the process. */
class HeldMemoryTest {

  @ParameterizedTest
  @CsvSource({
    "-XX:MaxDirectMemorySize=16m, 16777216",
    "-XX:MaxDirectMemorySize=512K, 524288",
    "-XX:MaxDirectMemorySize=1g, 1073741824",
    "-XX:MaxDirectMemorySize=4096, 4096"
  })
  void shouldReadTheDirectMemoryFromTheFlags(String flag, long bytes) {
    assertThat(HeldMemory.directBytes(List.of("-Xmx64m", flag))).isEqualTo(bytes);
  }

  @Test
  void shouldTakeTheLastFlagWhenThereAreSeveral() {
    assertThat(
            HeldMemory.directBytes(
                List.of("-XX:MaxDirectMemorySize=16m", "-XX:MaxDirectMemorySize=1m")))
        .isEqualTo(1024 * 1024);
  }

  @Test
  void shouldEqualTheHeapWhenNoFlagIsGiven() {
    assertThat(HeldMemory.directBytes(List.of())).isEqualTo(Runtime.getRuntime().maxMemory());
  }
}
