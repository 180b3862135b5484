/**
 * What differs between the callers, upstreams and checks of readiness that a daemon may serve: the
 * names of headers and calls, and the form of heartbeats. Depends on the decisions.
 */
package org.parsleycart.link.dialect;
