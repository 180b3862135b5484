package org.parsleycart.command;

import java.util.ArrayList;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/** Maps the phase of a rollout to an exit code. */
final class RolloutOutcome {
  private RolloutOutcome() {}

  static ExitCode exitCode(Document rollout) {
    RolloutPhase phase =
        MappingReader.of(rollout, new ArrayList<>())
            .enumConstant("phase", RolloutPhase.class)
            .orElse(RolloutPhase.PROGRESSING);
    return switch (phase) {
      case COMPLETED -> ExitCode.DONE;
      case ROLLED_BACK, ABORTED -> ExitCode.REFUSED;
      case PENDING, PROGRESSING, SOAKING -> ExitCode.NOT_YET_IN_FORCE;
    };
  }
}
