package org.parsleycart.decision.admission;

/**
 * The bounds of admission beside one upstream.
 *
 * @param coldLimit the calls that a cold upstream bears at once
 * @param queueLength the most calls that wait
 */
public record AdmissionSettings(int coldLimit, int queueLength) {

  // -- construction

  public AdmissionSettings {
    if (coldLimit < 1 || queueLength < 0) {
      throw new IllegalArgumentException("coldLimit must be at least 1, queueLength at least 0");
    }
  }
}
