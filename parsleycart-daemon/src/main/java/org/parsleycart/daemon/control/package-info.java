/**
 * The background workers of a daemon: gossip, synchronization with peers, platform access, rollouts
 * and maintenance. Each worker runs on a thread of its own. Work reaches it through bounded queues.
 */
package org.parsleycart.daemon.control;
