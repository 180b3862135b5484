/**
 * Progress of rollouts: the schedule of traffic shares, the evidence that compares the new version
 * with the old one, and the sequential tests that reject or accept the new version.
 */
package org.parsleycart.decision.rollout;
