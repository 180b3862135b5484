/**
 * The state shared by the background workers and the call path. The other packages of the daemon
 * may depend on it.
 */
package org.parsleycart.daemon.state;
