/**
 * Which daemons and upstreams there are: records with a single writer each, merged by order, and
 * the failure detector that probes members.
 */
package org.parsleycart.decision.membership;
