/**
 * Call routing: selects the version and the upstream of a call, and decides whether a failed
 * attempt is retried.
 */
package org.parsleycart.decision.routing;
