/**
 * The duties of a daemon that do not carry calls: probing, pulling, and the platform. Each runs on
 * a thread of its own; they are joined by bounded rings.
 */
package org.parsleycart.daemon.control;
