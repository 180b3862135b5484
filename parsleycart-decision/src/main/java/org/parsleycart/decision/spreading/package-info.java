/**
 * Distribution of the accepted configuration to all daemons: the log of recent changes, the
 * scheduling of pulls from peers and of reads from the platform, and urgent facts that are
 * disseminated without the platform.
 */
package org.parsleycart.decision.spreading;
