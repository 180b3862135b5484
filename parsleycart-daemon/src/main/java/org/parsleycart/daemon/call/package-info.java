/**
 * The path of a call: entry, admission beside the upstream, and the forwarding between them. Calls
 * run on input/output threads and read immutable snapshots; they never wait for another duty.
 */
package org.parsleycart.daemon.call;
