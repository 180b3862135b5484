/**
 * Membership of daemons and upstreams: single-writer records that are merged by a total order, and
 * the failure detector that probes members.
 */
package org.parsleycart.decision.membership;
