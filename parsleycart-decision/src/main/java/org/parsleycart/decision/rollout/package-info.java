/**
 * How a rollout moves: the schedule of shares, the evidence of the new version beside the old one,
 * and the sequential tests that condemn or accept it.
 */
package org.parsleycart.decision.rollout;
