package org.parsleycart.decision.usage;

import java.util.Optional;

/** Records the requests that the upstreams beside a daemon begin. */
public interface UsageRecorder {
  /** Records nothing, for deployments that do not ask for the duty. */
  UsageRecorder NONE =
      new UsageRecorder() {
        @Override
        public long recordBegun(Optional<String> organisation) {
          return 0;
        }

        @Override
        public void recordNotRun(Optional<String> organisation, long window) {}
      };

  /**
   * Records that a request is sent to an upstream now.
   *
   * @param organisation the organisation of the caller; without one nothing is recorded
   * @return the number of the current window
   */
  long recordBegun(Optional<String> organisation);

  /**
   * Withdraws a request that the upstream certainly did not run.
   *
   * @param window the window returned when the request was recorded
   */
  void recordNotRun(Optional<String> organisation, long window);
}
