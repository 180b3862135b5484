/** Decides which connections are closed to protect a daemon against misbehaving clients. */
package org.parsleycart.decision.protection;
