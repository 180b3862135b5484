package org.parsleycart.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.parsleycart.model.ConfigurationChange;

/** The authoritative source of the accepted versions of the configuration. */
public interface ConfigurationAuthority {

  /**
   * Reads all versions that are missing from the log.
   *
   * @param wait the longest time to wait for a new version; ignored if waiting is not supported
   * @return the number of versions added to the log
   */
  Either<PlatformError, Integer> catchUp(Duration wait);

  /**
   * Accepts a change.
   *
   * @param change the change; one with an identifier accepted before is not accepted again
   * @param basedOn the version on which the author based the change, or empty for the newest
   * @return the version that the change produced, or the reason why it was not accepted
   */
  Either<AcceptanceError, Long> accept(ConfigurationChange change, Optional<Long> basedOn);

  /**
   * Returns how often the platform was restored from a copy, as far as its responses and the
   * configuration in force show; 0 if it does not state it. Rows that were written in an earlier
   * era may be lost.
   */
  default long platformEra() {
    return 0;
  }

  /**
   * Returns whether {@link #catchUp} waits for new versions, so that it is called again
   * immediately.
   */
  boolean isLongPolling();
}
