/**
 * Admission control: decides which calls run at an upstream now, in which order others queue, and
 * which are refused. The daemon beside the upstream decides because it alone observes the full load
 * of the upstream.
 */
package org.parsleycart.decision.admission;
