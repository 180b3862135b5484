/**
 * The operators' command line: it talks HTTP to any daemon and tries the next when one is silent.
 */
package org.parsleycart.command;
