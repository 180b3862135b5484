/**
 * The usage duty: each daemon counts the requests that the upstreams beside it began, and the
 * holder of a lease reports the sums of each time window to the platform.
 */
package org.parsleycart.decision.usage;
