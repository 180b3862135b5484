/**
 * How an accepted configuration reaches every daemon: the log of recent changes, the order of pulls
 * from peers, the pace of reads from the platform, and the facts that spread without it.
 */
package org.parsleycart.decision.spreading;
