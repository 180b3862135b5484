/**
 * Which calls an upstream takes now, in what order the others wait, and which are refused. The
 * daemon beside the upstream decides, because it alone sees all of its load.
 */
package org.parsleycart.decision.admission;
