package org.parsleycart.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.parsleycart.model.ConfigurationChange;

/** Where accepted versions of the configuration come from. */
public interface ConfigurationAuthority {

  /**
   * Reads all versions that the log lacks.
   *
   * @param wait how long the platform may wait for a version to appear, if it can wait at all
   * @return how many versions took effect
   */
  Either<PlatformError, Integer> catchUp(Duration wait);

  /**
   * Accepts a change.
   *
   * @param change the change; one with an identifier accepted before is not accepted again
   * @param basedOn the version that the author saw, or empty for the newest
   * @return the version that the change became, or why it was not accepted
   */
  Either<AcceptanceError, Long> accept(ConfigurationChange change, Optional<Long> basedOn);

  /** Returns whether {@link #catchUp} waits for news, so that it is called again at once. */
  boolean isLongPolling();
}
