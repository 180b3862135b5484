/**
 * Handles calls. The entry is the daemon that receives a call from its caller: it finds the route,
 * chooses an upstream and retries. The daemon beside the upstream admits the call and forwards it
 * to the upstream. Both may be the same daemon.
 *
 * <p>Calls run on input/output threads and read immutable snapshots. They never wait for other
 * tasks of the daemon.
 */
package org.parsleycart.daemon.call;
