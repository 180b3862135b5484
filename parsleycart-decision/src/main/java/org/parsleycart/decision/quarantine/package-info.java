/**
 * Decides which requests no upstream may run any more, because upstreams end when they run them.
 * Depends on the message package; does no input or output.
 */
package org.parsleycart.decision.quarantine;
