/**
 * The daemon process: its entry points, the assembly of its components, and its graceful shutdown.
 */
package org.parsleycart.daemon;
