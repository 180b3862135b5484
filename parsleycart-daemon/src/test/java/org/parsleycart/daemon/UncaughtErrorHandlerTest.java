package org.parsleycart.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UncaughtErrorHandlerTest {
  @Test
  void shouldEndTheProcessWhenAThreadEndsWithAnError() throws InterruptedException {
    List<Integer> codes = new ArrayList<>();
    Thread thread =
        new Thread(
            () -> {
              throw new OutOfMemoryError("of the test");
            });
    thread.setUncaughtExceptionHandler(new UncaughtErrorHandler(codes::add));

    thread.start();
    thread.join();

    assertThat(codes).containsExactly(UncaughtErrorHandler.EXIT_THREAD_ENDED);
  }
}
